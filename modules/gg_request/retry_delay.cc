#include "gg_request/retry_delay.h"

#include <algorithm>

namespace greengage {
namespace {

/** Time of an answer on a route that has had none: a known object's on the
    deployments of today (0.2 to 0.4 s). */
constexpr Duration kDefaultResponseTime = std::chrono::milliseconds(300);

/** How long it takes until a first target, or the configuration, is there: a
    target's heartbeat (1.5 s) at the most, half of it on average. */
constexpr Duration kTargetRecoveryDelay = std::chrono::milliseconds(750);

/** Least delay: a way and back between regions, so that what was refused is
    not back before the news of room is. */
constexpr Duration kMinDelay = std::chrono::milliseconds(100);

/** Part of the time left that callers are ready to wait. */
constexpr int kMaxDelayDivisor = 3;

}  // namespace

Duration RetryDelay(const RefusalState& state, double jitter) {
  Duration delay = kTargetRecoveryDelay;
  if (state.utilization > 0) {
    const Duration response_time = state.usual_response_time > Duration::zero()
                                       ? state.usual_response_time
                                       : kDefaultResponseTime;
    // One request a slot is being worked on; the rest waits.
    delay = FromSeconds(ToSeconds(response_time) *
                        std::max(state.utilization - 1, 0.0));
  }
  delay = std::max(delay, kMinDelay);
  const Duration jittered_delay = FromSeconds(ToSeconds(delay) * (1 + jitter));
  const Duration max_delay = state.time_left / kMaxDelayDivisor;
  return std::clamp(jittered_delay, Duration::zero(),
                    std::max(max_delay, Duration::zero()));
}

}  // namespace greengage
