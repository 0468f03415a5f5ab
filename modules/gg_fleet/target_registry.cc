#include "gg_fleet/target_registry.h"

#include <algorithm>

#include "gg_fleet/fleet_config.h"

namespace greengage {
namespace {

/** Cold time of a target whose service is not known yet. Longer than any that
    the deployments of today configure (3 s). */
constexpr Duration kUnknownColdTime = std::chrono::seconds(5);

/** Added to a target's own statement, for the time the entry was on its way. */
constexpr Duration kColdMargin = std::chrono::milliseconds(500);

}  // namespace

Duration TargetRegistry::ColdTime(const std::string& service,
                                  const FleetConfig* config) const {
  if (config == nullptr) return kUnknownColdTime;
  const auto found = config->services.find(service);
  return found == config->services.end() ? kUnknownColdTime
                                         : found->second.cold_time;
}

void TargetRegistry::Put(const TargetRecord& record, const FleetConfig* config,
                         TimePoint now, uint64_t wall_ms) {
  const auto known = rows_.find(record.id);
  const bool is_same_run =
      known != rows_.end() &&
      known->second.target.record.incarnation_ms == record.incarnation_ms;
  Row row;
  row.target.record = record;
  const auto region = options_.zone_regions.find(record.zone);
  if (region != options_.zone_regions.end()) {
    row.target.region = region->second;
  }
  if (is_same_run) row.target.cold_until = known->second.target.cold_until;
  if (record.cold_left > Duration::zero()) {
    row.target.cold_until =
        std::max(row.target.cold_until, now + record.cold_left + kColdMargin);
  } else if (!is_same_run) {
    // The clocks of two hosts may differ, so a recent start counts as now.
    const Duration cold_time = ColdTime(record.service, config);
    const auto age = std::chrono::milliseconds(
        wall_ms > record.incarnation_ms ? wall_ms - record.incarnation_ms : 0);
    if (record.incarnation_ms != 0 && age < cold_time + kColdMargin) {
      row.target.cold_until = now + cold_time - age + kColdMargin;
    }
  }
  rows_[record.id] = std::move(row);
}

void TargetRegistry::Remove(const std::string& id, TimePoint now) {
  const auto found = rows_.find(id);
  if (found == rows_.end() || found->second.remove_at) return;
  const bool may_be_lapse = last_outage_ &&
                            now < *last_outage_ + options_.lapse_grace &&
                            !found->second.target.record.is_draining;
  if (may_be_lapse) {
    found->second.remove_at = *last_outage_ + options_.lapse_grace;
  } else {
    rows_.erase(found);
  }
}

void TargetRegistry::SetEvacuated(const std::set<std::string>& zones,
                                  const FleetConfig* config, TimePoint now) {
  for (auto& [id, row] : rows_) {
    const std::string& zone = row.target.record.zone;
    if (evacuated_.count(zone) == 0 || zones.count(zone) != 0) continue;
    row.target.cold_until =
        std::max(row.target.cold_until,
                 now + ColdTime(row.target.record.service, config));
  }
  evacuated_ = zones;
}

bool TargetRegistry::Tick(TimePoint now) {
  const size_t erased = std::erase_if(rows_, [&](const auto& entry) {
    return entry.second.remove_at && *entry.second.remove_at <= now;
  });
  return erased != 0;
}

std::vector<UsableTarget> TargetRegistry::Usable() const {
  std::vector<UsableTarget> usable;
  for (const auto& [id, row] : rows_) {
    if (row.target.record.is_draining) continue;
    if (evacuated_.count(row.target.record.zone) != 0) continue;
    usable.push_back(row.target);
  }
  return usable;
}

std::set<std::string> TargetRegistry::Ids() const {
  std::set<std::string> ids;
  for (const auto& [id, row] : rows_) ids.insert(id);
  return ids;
}

}  // namespace greengage
