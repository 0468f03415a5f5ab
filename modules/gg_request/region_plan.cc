#include "gg_request/region_plan.h"

#include <algorithm>
#include <cmath>

namespace greengage {
namespace {

/** Longest span that a single step makes up for, after a pause. */
constexpr Duration kLongestStep = std::chrono::milliseconds(500);

}  // namespace

RegionShares PlanRegionShares(
    const std::string& origin,
    const std::map<std::string, RegionLoad>& regions) {
  double demand = 0;
  double capacity = 0;
  for (const auto& [region, load] : regions) {
    demand += load.demand;
    capacity += load.capacity;
  }
  RegionShares shares;
  if (capacity <= 0) return shares;
  const auto own = regions.find(origin);
  const double own_demand =
      own == regions.end() || demand <= 0 ? 0 : own->second.demand / demand;
  const double own_capacity =
      own == regions.end() ? 0 : own->second.capacity / capacity;
  const double kept = own_demand <= 0
                          ? (own_capacity > 0 ? 1 : 0)
                          : std::min(1.0, own_capacity / own_demand);
  if (kept > 0) shares[origin] = kept;
  if (kept >= 1) return shares;
  std::map<std::string, double> room;
  double all_room = 0;
  for (const auto& [region, load] : regions) {
    if (region == origin || load.capacity <= 0) continue;
    const double wanted = demand <= 0 ? 0 : load.demand / demand;
    room[region] = std::max(load.capacity / capacity - wanted, 0.0);
    all_room += room[region];
  }
  if (all_room <= 0) {
    if (kept > 0) shares[origin] = 1;
    return shares;
  }
  for (const auto& [region, part] : room) {
    if (part > 0) shares[region] = (1 - kept) * part / all_room;
  }
  return shares;
}

const RegionShares& ShareLimiter::MoveTowards(const RegionShares& plan,
                                              TimePoint now) {
  if (plan.empty()) return shares_;
  double lost = 0;
  for (auto it = shares_.begin(); it != shares_.end();) {
    if (plan.count(it->first) != 0) {
      ++it;
      continue;
    }
    lost += it->second;
    it = shares_.erase(it);
  }
  if (shares_.empty()) {
    shares_ = plan;
    moved_at_ = now;
    return shares_;
  }
  for (const auto& [region, share] : plan) {
    shares_[region] += lost * share;
  }
  double distance = 0;
  for (const auto& [region, share] : plan) {
    distance += std::max(share - shares_[region], 0.0);
  }
  const double step =
      options_.rate_per_second *
      ToSeconds(std::min<Duration>(now - moved_at_, kLongestStep));
  moved_at_ = now;
  if (distance <= 0) return shares_;
  const double part = std::min(1.0, step / distance);
  for (const auto& [region, share] : plan) {
    shares_[region] += (share - shares_[region]) * part;
  }
  return shares_;
}

}  // namespace greengage
