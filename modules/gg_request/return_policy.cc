#include "gg_request/return_policy.h"

#include <algorithm>

namespace greengage {
namespace {

/** Time of an answer on a route that has had none: a known object's on the
    deployments of today (0.2 to 0.4 s). */
constexpr Duration kAssumedTime = std::chrono::milliseconds(300);

/** How long it takes until a first target, or the configuration, is there: a
    target's heartbeat (1.5 s) at the most, half of it on average. */
constexpr Duration kTargetReturn = std::chrono::milliseconds(750);

/** Least pause: a way and back between regions, so that what was refused is
    not back before the news of room is. */
constexpr Duration kLeastPause = std::chrono::milliseconds(100);

/** Part of the time left that callers are ready to wait. */
constexpr int kWaitDivisor = 3;

}  // namespace

Duration ReturnAfter(const RefusalState& state, double draw) {
  Duration pause = kTargetReturn;
  if (state.utilization > 0) {
    const Duration usual =
        state.usual_time > Duration::zero() ? state.usual_time : kAssumedTime;
    // One request a slot is being worked on; the rest waits.
    pause =
        FromSeconds(ToSeconds(usual) * std::max(state.utilization - 1, 0.0));
  }
  pause = std::max(pause, kLeastPause);
  const Duration scattered = FromSeconds(ToSeconds(pause) * (1 + draw));
  const Duration longest = state.time_left / kWaitDivisor;
  return std::clamp(scattered, Duration::zero(),
                    std::max(longest, Duration::zero()));
}

}  // namespace greengage
