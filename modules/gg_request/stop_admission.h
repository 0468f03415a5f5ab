#ifndef GG_REQUEST_STOP_ADMISSION_H_
#define GG_REQUEST_STOP_ADMISSION_H_

#include "gg_core/time.h"

namespace greengage {

/** A request at a daemon that is stopping. */
struct StoppingRequest {
  Duration since_stop{};  // from the stop signal until now
  Duration until_exit{};  // from now until the process exits
  Duration time_limit{};  // in which the request is answered in any case
  /** Longest recent response time on the request's route; zero: unknown. */
  Duration slowest_response{};
};

/** Decides whether a stopping daemon may send a request to a target. Otherwise
    the request is refused as not run, and the caller repeats it elsewhere.

    A request that still runs when the process exits is lost to its caller. A
    request whose time limit ends before is always safe. Callers use a lookup
    until it expires, so in the first part of a stop every caller may still send
    requests; a time limit that is much longer than the route's responses must
    not turn all of them away. In that part the route's recent response times
    decide instead.
    @param settle_time  time from the stop signal in which callers repeat their
           lookups. */
bool MayTakeWhileStopping(const StoppingRequest& request, Duration settle_time);

}  // namespace greengage

#endif  // GG_REQUEST_STOP_ADMISSION_H_
