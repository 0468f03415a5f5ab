#include "gg_request/region_plan.h"

#include <algorithm>
#include <cmath>

namespace greengage {
namespace {

/** Longest time that one call of MoveTowards() accounts for, so that a pause
    between requests does not allow a large change at once. */
constexpr Duration kMaxElapsedTime = std::chrono::milliseconds(500);

}  // namespace

RegionShares PlanRegionShares(
    const std::string& origin,
    const std::map<std::string, RegionLoad>& regions) {
  double total_demand = 0;
  double total_capacity = 0;
  for (const auto& [region, load] : regions) {
    total_demand += load.demand;
    total_capacity += load.capacity;
  }
  RegionShares shares;
  if (total_capacity <= 0) return shares;
  const auto own = regions.find(origin);
  const double own_demand_share = own == regions.end() || total_demand <= 0
                                      ? 0
                                      : own->second.demand / total_demand;
  const double own_capacity_share =
      own == regions.end() ? 0 : own->second.capacity / total_capacity;
  const double kept_share =
      own_demand_share <= 0
          ? (own_capacity_share > 0 ? 1 : 0)
          : std::min(1.0, own_capacity_share / own_demand_share);
  if (kept_share > 0) shares[origin] = kept_share;
  if (kept_share >= 1) return shares;
  std::map<std::string, double> spare_shares;
  double total_spare = 0;
  for (const auto& [region, load] : regions) {
    if (region == origin || load.capacity <= 0) continue;
    const double demand_share =
        total_demand <= 0 ? 0 : load.demand / total_demand;
    spare_shares[region] =
        std::max(load.capacity / total_capacity - demand_share, 0.0);
    total_spare += spare_shares[region];
  }
  if (total_spare <= 0) {
    if (kept_share > 0) shares[origin] = 1;
    return shares;
  }
  for (const auto& [region, region_spare] : spare_shares) {
    if (region_spare > 0) {
      shares[region] = (1 - kept_share) * region_spare / total_spare;
    }
  }
  return shares;
}

RegionShares KeepUpToUtilization(
    const std::string& origin, RegionShares equal,
    const std::map<std::string, RegionLoad>& regions, double mean_utilization,
    const LocalUtilizationOptions& options) {
  if (options.target_utilization <= 0 || equal.empty()) return equal;
  for (const auto& [region, load] : regions) {
    if (load.capacity > 0) equal.try_emplace(region, 0);
  }
  const auto own = equal.find(origin);
  if (own == equal.end() || own->second <= 0) return equal;
  const bool is_poor = own->second < options.min_kept_share;
  if (!is_poor || mean_utilization >= options.target_utilization) return equal;
  const double highest =
      std::min(options.target_utilization,
               mean_utilization * (1 + options.max_excess_utilization));
  const double factor = mean_utilization <= 0 ? 1 : highest / mean_utilization;
  const double kept = std::min(1.0, own->second * factor);
  const double scale = (1 - kept) / (1 - own->second);
  for (auto& [region, share] : equal) share *= scale;
  own->second = kept;
  return equal;
}

const RegionShares& ShareLimiter::MoveTowards(const RegionShares& plan,
                                              TimePoint now) {
  if (plan.empty()) return shares_;
  double lost_share = 0;
  for (auto it = shares_.begin(); it != shares_.end();) {
    if (plan.count(it->first) != 0) {
      ++it;
      continue;
    }
    lost_share += it->second;
    it = shares_.erase(it);
  }
  if (shares_.empty()) {
    shares_ = plan;
    updated_at_ = now;
    return shares_;
  }
  for (const auto& [region, share] : plan) {
    shares_[region] += lost_share * share;
  }
  double distance = 0;
  for (const auto& [region, share] : plan) {
    distance += std::max(share - shares_[region], 0.0);
  }
  const double max_change =
      options_.max_change_per_second *
      ToSeconds(std::min<Duration>(now - updated_at_, kMaxElapsedTime));
  updated_at_ = now;
  if (distance <= 0) return shares_;
  const double fraction = std::min(1.0, max_change / distance);
  for (const auto& [region, share] : plan) {
    shares_[region] += (share - shares_[region]) * fraction;
  }
  return shares_;
}

}  // namespace greengage
