#include "gg_request/stop_admission.h"

namespace greengage {
namespace {

/** Factor on the longest recent response time, for a target that becomes
    slower. */
constexpr double kSlowdownMargin = 1.5;

/** Time in which a response is passed on to the caller. */
constexpr Duration kResponseMargin = std::chrono::milliseconds(100);

}  // namespace

bool MayTakeWhileStopping(const StoppingRequest& request,
                          Duration settle_time) {
  const Duration usable_time = request.until_exit - kResponseMargin;
  if (request.time_limit <= usable_time) return true;
  if (request.since_stop > settle_time) return false;
  if (request.slowest_response <= Duration::zero()) return false;
  return FromSeconds(ToSeconds(request.slowest_response) * kSlowdownMargin) <=
         usable_time;
}

}  // namespace greengage
