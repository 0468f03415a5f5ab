#include "gg_fleet/target_registry.h"

#include <algorithm>

#include "gg_fleet/fleet_config.h"

namespace greengage {
namespace {

/** Cold duration of a target whose service is not known yet. Longer than any
    duration in the current deployments' configuration (3 s). */
constexpr Duration kDefaultColdDuration = std::chrono::seconds(5);

/** Added to a target's cold duration to cover the delay until its entry
    arrives. */
constexpr Duration kColdDurationMargin = std::chrono::milliseconds(500);

}  // namespace

Duration TargetRegistry::ColdDuration(const std::string& service,
                                      const FleetConfig* config) const {
  if (config == nullptr) return kDefaultColdDuration;
  const auto found = config->services.find(service);
  return found == config->services.end() ? kDefaultColdDuration
                                         : found->second.cold_duration;
}

void TargetRegistry::Put(const TargetRecord& record, const FleetConfig* config,
                         TimePoint now, uint64_t wall_ms) {
  const auto known = rows_.find(record.id);
  const bool is_same_incarnation =
      known != rows_.end() &&
      known->second.target.record.incarnation_ms == record.incarnation_ms;
  Row row;
  row.target.record = record;
  const auto region = options_.zone_regions.find(record.zone);
  if (region != options_.zone_regions.end()) {
    row.target.region = region->second;
  }
  if (is_same_incarnation) {
    row.target.cold_until = known->second.target.cold_until;
  }
  if (record.remaining_cold_duration > Duration::zero()) {
    row.target.cold_until =
        std::max(row.target.cold_until,
                 now + record.remaining_cold_duration + kColdDurationMargin);
  } else if (!is_same_incarnation) {
    // The clocks of two hosts may differ, so a start time ahead of the local
    // clock counts as now.
    const Duration cold_duration = ColdDuration(record.service, config);
    const auto age = std::chrono::milliseconds(
        wall_ms > record.incarnation_ms ? wall_ms - record.incarnation_ms : 0);
    if (record.incarnation_ms != 0 &&
        age < cold_duration + kColdDurationMargin) {
      row.target.cold_until = now + cold_duration - age + kColdDurationMargin;
    }
  }
  rows_[record.id] = std::move(row);
  removed_.erase(record.id);
}

bool TargetRegistry::IsOutdated(const TargetRecord& record) const {
  const auto known = rows_.find(record.id);
  if (known != rows_.end()) {
    const TargetRecord& newest = known->second.target.record;
    return record.incarnation_ms < newest.incarnation_ms ||
           (record.incarnation_ms == newest.incarnation_ms &&
            record.sequence < newest.sequence);
  }
  const auto removed = removed_.find(record.id);
  return removed != removed_.end() &&
         (record.incarnation_ms < removed->second.incarnation_ms ||
          (record.incarnation_ms == removed->second.incarnation_ms &&
           record.sequence <= removed->second.sequence));
}

void TargetRegistry::RecordRemoval(const TargetRecord& record, TimePoint now) {
  removed_[record.id] = {record.incarnation_ms, record.sequence, now};
}

void TargetRegistry::Remove(const std::string& id, TimePoint now) {
  const auto found = rows_.find(id);
  if (found == rows_.end() || found->second.remove_at) return;
  const bool may_have_expired_in_outage =
      last_outage_ && now < *last_outage_ + options_.outage_grace_period &&
      !found->second.target.record.is_draining;
  if (may_have_expired_in_outage) {
    found->second.remove_at = *last_outage_ + options_.outage_grace_period;
  } else {
    RecordRemoval(found->second.target.record, now);
    rows_.erase(found);
  }
}

void TargetRegistry::SetEvacuatedZones(const std::set<std::string>& zones,
                                       const FleetConfig* config,
                                       TimePoint now) {
  for (auto& [id, row] : rows_) {
    const std::string& zone = row.target.record.zone;
    if (evacuated_zones_.count(zone) == 0 || zones.count(zone) != 0) continue;
    row.target.cold_until =
        std::max(row.target.cold_until,
                 now + ColdDuration(row.target.record.service, config));
  }
  evacuated_zones_ = zones;
}

bool TargetRegistry::Tick(TimePoint now) {
  const size_t erased = std::erase_if(rows_, [&](const auto& entry) {
    const Row& row = entry.second;
    const bool is_due = row.remove_at && *row.remove_at <= now;
    if (is_due) RecordRemoval(row.target.record, now);
    return is_due;
  });
  std::erase_if(removed_, [&](const auto& entry) {
    return now - entry.second.removed_at >= options_.removed_retention;
  });
  return erased != 0;
}

std::vector<UsableTarget> TargetRegistry::UsableTargets() const {
  std::vector<UsableTarget> usable;
  for (const auto& [id, row] : rows_) {
    if (row.target.record.is_draining) continue;
    if (evacuated_zones_.count(row.target.record.zone) != 0) continue;
    usable.push_back(row.target);
  }
  return usable;
}

std::set<std::string> TargetRegistry::TargetIds() const {
  std::set<std::string> ids;
  for (const auto& [id, row] : rows_) ids.insert(id);
  return ids;
}

}  // namespace greengage
