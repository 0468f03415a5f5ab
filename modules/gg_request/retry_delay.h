#ifndef GG_REQUEST_RETRY_DELAY_H_
#define GG_REQUEST_RETRY_DELAY_H_

#include "gg_core/time.h"

namespace greengage {

/** What is known of a request that is refused without having run. */
struct RefusalState {
  /** Requests per slot at the target that the request would have gone to; 0 if
      there is no target. */
  double utilization = 0;
  /** Demand divided by what the targets serve; see AdmissionDecision. */
  double demand_ratio = 1;
  /** Time until a rate-limited target is expected to take the request; zero if
      it was not refused because of a limit. */
  Duration admission_delay{};
  Duration usual_response_time{};    // of answers on its route; zero: unknown
  Duration time_left{};              // for which the caller still waits
  bool is_served_elsewhere = false;  // this host stops; others take requests
};

/** Returns how long a refused caller should wait before it retries.

    Load pattern: a burst fills the targets and many callers are refused within
    the same tenth of a second. If all were given the same delay, they would
    retry together and find the targets full again. The delay is therefore the
    time in which the target serves its queue, or the demand of one response
    time if that is longer, extended by a random amount of up to the same
    length. If the targets have reached their rate limits, it is the
    time until the next request is expected to be admitted. If there is no
    target, it is the time in which one is expected to return. A caller that
    only has to go to another host does not wait.
    @param jitter  a random number from 0 to 1.
    @return the delay; at most a third of the time left, because callers do not
            wait longer than that. */
Duration RetryDelay(const RefusalState& state, double jitter);

}  // namespace greengage

#endif  // GG_REQUEST_RETRY_DELAY_H_
