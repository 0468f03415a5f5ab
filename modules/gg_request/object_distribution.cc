#include "gg_request/object_distribution.h"

#include <algorithm>

namespace greengage {
namespace {

/** Count below which an object is removed. */
constexpr double kMinCount = 0.5;

/** Highest counts of an object that was requested once, or twice. Counts are
    halved from time to time. */
constexpr double kMaxSingleCount = 1.25;
constexpr double kMaxDoubleCount = 2.25;

/** Number of 64-bit hash values. Objects are hashes, so that dividing by it
    gives evenly distributed positions. */
constexpr double kHashRange = 18446744073709551616.0;

}  // namespace

double ObjectDistribution::RecordRequest(uint64_t object) {
  if (total_requests_ >= options_.max_requests) HalveCounts();
  double& object_requests = request_counts_[object];
  object_requests += 1;
  total_requests_ += 1;
  double requests_before = 0;
  for (const auto& [other, count] : request_counts_) {
    if (other >= object) break;
    requests_before += count;
  }
  const double prior_position = static_cast<double>(object) / kHashRange;
  return (requests_before + object_requests / 2 +
          options_.prior_requests * prior_position) /
         (total_requests_ + options_.prior_requests);
}

double ObjectDistribution::EstimatedObjectCount() const {
  double singles = 0;
  double doubles = 0;
  for (const auto& [object, count] : request_counts_) {
    if (count <= kMaxSingleCount) {
      ++singles;
    } else if (count <= kMaxDoubleCount) {
      ++doubles;
    }
  }
  return static_cast<double>(size()) +
         singles * std::max(singles - 1, 0.0) / (2 * (doubles + 1));
}

void ObjectDistribution::HalveCounts() {
  total_requests_ = 0;
  for (auto it = request_counts_.begin(); it != request_counts_.end();) {
    it->second /= 2;
    if (it->second < kMinCount) {
      it = request_counts_.erase(it);
    } else {
      total_requests_ += it->second;
      ++it;
    }
  }
}

}  // namespace greengage
