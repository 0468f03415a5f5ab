#ifndef GG_REQUEST_RETRY_DELAY_H_
#define GG_REQUEST_RETRY_DELAY_H_

#include "gg_core/time.h"

namespace greengage {

/** What is known when a request is refused without having run. */
struct RefusalState {
  /** Requests at the target that it would have gone to, against its slots; 0
      when there is no target at all. */
  double utilization = 0;
  Duration usual_response_time{};  // of an answer on its route; zero: unknown
  Duration time_left{};            // that the caller waits
};

/** Says when a refused caller may come back.

    Load pattern: a burst fills the targets and many callers are refused within
    the same tenth of a second. Told the same delay, they would come back
    together and find the targets full once more. So the delay is the time in
    which the target works off what waits there, lengthened at random by up to
    as much again; where there is no target, the time in which one comes back.
    @param jitter  a random number from 0 to 1.
    @return the delay; at most a third of the time left, because callers do not
            wait longer than that. */
Duration RetryDelay(const RefusalState& state, double jitter);

}  // namespace greengage

#endif  // GG_REQUEST_RETRY_DELAY_H_
