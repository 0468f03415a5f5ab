#include "gg_request/zone_placement.h"

#include <algorithm>

namespace greengage {

RegionShares ZonePlacement::PlanShares(
    const std::map<std::string, double>& capacity) const {
  std::map<std::string, RegionLoad> zones;
  for (const std::string& zone : options_.zones) zones[zone].demand = 1;
  for (const auto& [zone, slots] : capacity) zones[zone].capacity = slots;
  RegionShares shares = PlanRegionShares(options_.zone, zones);
  if (shares.empty()) return shares;
  // ShareLimiter takes zones that are missing for lost ones and moves their
  // share at once.
  for (const auto& [zone, slots] : capacity) {
    if (slots > 0) shares.try_emplace(zone, 0);
  }
  const auto own = shares.find(options_.zone);
  if (own == shares.end() || own->second >= 1) return shares;
  const double kept =
      std::min(1.0, own->second * (1 + options_.max_excess_load));
  const double scale = (1 - kept) / (1 - own->second);
  for (auto& [zone, share] : shares) share *= scale;
  own->second = kept;
  return shares;
}

std::string ZonePlacement::ChooseZone(
    const std::string& service, const std::map<std::string, double>& capacity,
    uint64_t object, TimePoint now) {
  const RegionShares planned = PlanShares(capacity);
  if (planned.empty()) return options_.zone;
  ServicePlan& plan =
      plans_
          .try_emplace(service,
                       ServicePlan{.limiter = ShareLimiter(
                                       {.max_change_per_second =
                                            options_.max_change_per_second})})
          .first->second;
  const RegionShares& shares = plan.limiter.MoveTowards(planned, now);
  // Counts the request in any case, so that the distribution is known when the
  // zone runs short of capacity.
  const double position =
      object == 0 ? 0 : plan.object_distribution.RecordRequest(object);
  std::vector<std::string> zones;
  std::vector<double> weights;
  for (const auto& [zone, share] : shares) {
    zones.push_back(zone);
    weights.push_back(share);
  }
  if (object == 0) return zones[plan.round_robin.Next(weights)];
  // Shares of zones need not be exact, so an object has one zone at a time.
  double end = 0;
  std::string chosen = options_.zone;
  for (size_t i = 0; i < zones.size(); ++i) {
    if (weights[i] <= 0) continue;
    chosen = zones[i];
    end += weights[i];
    if (position < end) break;
  }
  return chosen;
}

std::vector<size_t> ZonePlacement::Arrange(
    const std::vector<Candidate>& candidates, std::string_view zone,
    bool is_ordered) const {
  std::vector<size_t> rows;
  rows.reserve(candidates.size());
  bool has_free_target = false;
  for (const Candidate& candidate : candidates) {
    if (candidate.zone != zone) continue;
    rows.push_back(candidate.row);
    has_free_target |= candidate.utilization < options_.busy_utilization;
  }
  if (!is_ordered && has_free_target) return rows;
  for (const Candidate& candidate : candidates) {
    if (candidate.zone != zone) rows.push_back(candidate.row);
  }
  return rows;
}

}  // namespace greengage
