#include "gg_request/arrival_rate.h"

#include <algorithm>
#include <cmath>

namespace greengage {
namespace {

/** Shortest time over which a rate is computed. A daemon receives one or two
    requests in a tenth of a second. */
constexpr Duration kMinObservedTime = std::chrono::milliseconds(100);

}  // namespace

double ArrivalRate::RecordArrival(TimePoint now) {
  if (!first_arrival_at_) first_arrival_at_ = last_arrival_at_ = now;
  const double time_constant = ToSeconds(options_.time_constant);
  decayed_count_ =
      decayed_count_ *
          std::exp(-ToSeconds(now - last_arrival_at_) / time_constant) +
      1;
  last_arrival_at_ = now;
  const double observed_time =
      ToSeconds(std::max<Duration>(now - *first_arrival_at_, kMinObservedTime));
  return decayed_count_ /
         (time_constant * (1 - std::exp(-observed_time / time_constant)));
}

}  // namespace greengage
