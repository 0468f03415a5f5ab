#include "gg_request/retry_delay.h"

#include <algorithm>

namespace greengage {
namespace {

/** Response time assumed for a route that has had no answer yet. Current
    deployments answer in 0.2 to 0.4 s for an object that the target handled
    recently. */
constexpr Duration kDefaultResponseTime = std::chrono::milliseconds(300);

/** Expected time until a first target, or the configuration, is available: at
    most a target's heartbeat interval of 1.5 s, on average half of it. */
constexpr Duration kTargetRecoveryDelay = std::chrono::milliseconds(750);

/** Minimum delay: a round trip between regions, so that a refused caller does
    not retry before the daemon has been informed of free capacity. */
constexpr Duration kMinDelay = std::chrono::milliseconds(100);

/** Callers wait for at most the time left divided by this. */
constexpr int kMaxDelayDivisor = 3;

}  // namespace

Duration RetryDelay(const RefusalState& state, double jitter) {
  if (state.is_served_elsewhere) return Duration::zero();
  Duration delay = kTargetRecoveryDelay;
  if (state.admission_delay > Duration::zero()) {
    delay = state.admission_delay;
  } else if (state.utilization > 0 || state.demand_ratio > 1) {
    const Duration response_time = state.usual_response_time > Duration::zero()
                                       ? state.usual_response_time
                                       : kDefaultResponseTime;
    // Each slot serves one request; the others wait in the queue.
    const double excess = std::max(state.utilization, state.demand_ratio) - 1;
    delay = FromSeconds(ToSeconds(response_time) * std::max(excess, 0.0));
  }
  delay = std::max(delay, kMinDelay);
  const Duration jittered_delay = FromSeconds(ToSeconds(delay) * (1 + jitter));
  const Duration max_delay = state.time_left / kMaxDelayDivisor;
  return std::clamp(jittered_delay, Duration::zero(),
                    std::max(max_delay, Duration::zero()));
}

}  // namespace greengage
