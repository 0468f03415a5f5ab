#ifndef GG_REQUEST_RETURN_POLICY_H_
#define GG_REQUEST_RETURN_POLICY_H_

#include "gg_core/time.h"

namespace greengage {

/** What is known when a request is refused without having run. */
struct RefusalState {
  /** Requests at the target that it would have gone to, against its slots; 0
      when there is no target at all. */
  double utilization = 0;
  Duration usual_time{};  // of an answer on its route; zero: unknown
  Duration time_left{};   // that the caller waits
};

/** Says when a refused caller may come back.

    Load pattern: a burst fills the targets and many callers are refused within
    the same tenth of a second. Told the same pause, they would come back
    together and find the targets full once more. So the pause is the time in
    which the target works off what waits there, lengthened at random by up to
    as much again; where there is no target, the time in which one comes back.
    @param draw  a random number from 0 to 1.
    @return the pause; at most a third of the time left, because callers do not
            wait longer than that. */
Duration ReturnAfter(const RefusalState& state, double draw);

}  // namespace greengage

#endif  // GG_REQUEST_RETURN_POLICY_H_
