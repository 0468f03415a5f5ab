#include "gg_fleet/fleet_state.h"

#include <map>
#include <utility>

#include "absl/strings/str_cat.h"

namespace greengage {
namespace {

/** How long an evacuation holds that a copy of the store lacks. Operators write
    it again about two seconds after the store is back. */
constexpr Duration kEvacuationGracePeriod = std::chrono::seconds(3);

/** Returns the zones that are in only one of the sets, each with the event to
    log for it. */
std::map<std::string, Event> FindZoneChanges(
    const std::set<std::string>& before, const std::set<std::string>& after) {
  std::map<std::string, Event> changes;
  for (const std::string& zone : before) {
    if (after.count(zone) == 0) changes[zone] = Event::kZoneReturned;
  }
  for (const std::string& zone : after) {
    if (before.count(zone) == 0) changes[zone] = Event::kZoneEvacuated;
  }
  return changes;
}

}  // namespace

FleetState::FleetState(Options options, FleetStateHooks hooks)
    : hooks_(std::move(hooks)),
      targets_(std::move(options.targets)),
      members_(std::move(options.members)) {}

void FleetState::Apply(const FleetEvent& event, TimePoint now,
                       uint64_t wall_ms) {
  std::visit([&](const auto& typed) { Handle(typed, now, wall_ms); }, event);
}

void FleetState::Tick(TimePoint now) {
  if (!store_reachable_ && members_.IsStoreUnreachableForAll(now)) {
    targets_.RecordStoreOutage(now);
  }
  if (targets_.Tick(now)) has_unpublished_changes_ = true;
  members_.Tick(now);
  EndUnconfirmedEvacuations(now);
  UpdateEvacuatedZones(now);
  const uint64_t members = members_.Fingerprint(now);
  if (!has_unpublished_changes_ && members == published_member_fingerprint_) {
    return;
  }
  has_unpublished_changes_ = false;
  published_member_fingerprint_ = members;
  hooks_.publish(std::make_shared<FleetView>(MakeView(now)));
}

void FleetState::UpdateEvacuatedZones(TimePoint now) {
  std::set<std::string> zones = store_evacuated_zones_;
  // A daemon that cannot reach the store uses the zones reported by daemons
  // that can.
  if (!store_reachable_) zones.merge(members_.PeerReportedEvacuatedZones(now));
  if (zones == effective_evacuated_zones_) return;
  for (const auto& [zone, event] :
       FindZoneChanges(effective_evacuated_zones_, zones)) {
    Log(event, absl::StrCat("zone=", zone,
                            " store_reachable=", store_reachable_ ? 1 : 0));
  }
  effective_evacuated_zones_ = std::move(zones);
  targets_.SetEvacuatedZones(effective_evacuated_zones_, config_.get(), now);
  has_unpublished_changes_ = true;
}

FleetView FleetState::MakeView(TimePoint now) {
  return {.sequence = ++view_sequence_,
          .config = config_,
          .targets = targets_.UsableTargets(),
          .evacuated_zones = store_evacuated_zones_,
          .serving_members = members_.ServingMembers(now),
          .own_region_peers = members_.PeerAddresses(true),
          .other_region_peers = members_.PeerAddresses(false),
          .own_zone_peers = members_.OwnZonePeerAddresses(),
          .relay_address = members_.RelayAddress(now),
          .sender_count = members_.SenderCount(now)};
}

void FleetState::Log(Event event, const std::string& text) const {
  hooks_.log(LogLevel::kInfo, event, text);
}

void FleetState::Handle(const ConfigReceived& event, TimePoint /*now*/,
                        uint64_t /*wall_ms*/) {
  const uint64_t previous_version = config_ == nullptr ? 0 : config_->version;
  if (config_ != nullptr && event.config->version <= previous_version) return;
  config_ = event.config;
  has_unpublished_changes_ = true;
  Log(Event::kConfigInForce,
      absl::StrCat("version=", config_->version, " previous=", previous_version,
                   " routes=", config_->routes.size()));
}

void FleetState::Handle(const TargetListed& event, TimePoint now,
                        uint64_t wall_ms) {
  if (is_reading_copy_ && targets_.IsOutdated(event.record)) {
    Log(Event::kStoreItemPassedOver,
        absl::StrCat("target=", event.record.id,
                     " incarnation=", event.record.incarnation_ms,
                     " sequence=", event.record.sequence));
    return;
  }
  targets_.Put(event.record, config_.get(), now, wall_ms);
  has_unpublished_changes_ = true;
  const TargetRecord& record = event.record;
  Log(record.is_draining ? Event::kTargetDraining : Event::kTargetListed,
      absl::StrCat("target=", record.id, " service=", record.service,
                   " address=", record.address, " zone=", record.zone,
                   " incarnation=", record.incarnation_ms,
                   " cold_s=", ToSeconds(record.remaining_cold_duration)));
}

void FleetState::Handle(const TargetUnlisted& event, TimePoint now,
                        uint64_t /*wall_ms*/) {
  targets_.Remove(event.id, now);
  has_unpublished_changes_ = true;
  Log(Event::kTargetUnlisted,
      absl::StrCat("target=", event.id,
                   " store_reachable=", store_reachable_ ? 1 : 0));
}

void FleetState::Handle(const EvacuationChanged& event, TimePoint now,
                        uint64_t /*wall_ms*/) {
  unconfirmed_evacuations_.erase(event.zone);
  std::set<std::string> zones = store_evacuated_zones_;
  if (event.is_evacuated) {
    zones.insert(event.zone);
  } else {
    zones.erase(event.zone);
  }
  if (zones == store_evacuated_zones_) return;
  store_evacuated_zones_ = zones;
  has_unpublished_changes_ = true;
  UpdateEvacuatedZones(now);
}

void FleetState::Handle(const MemberListed& event, TimePoint now,
                        uint64_t /*wall_ms*/) {
  if (is_reading_copy_) {
    members_.PutFromCopy(event.member, now);
  } else {
    members_.Put(event.member, now);
  }
  has_unpublished_changes_ = true;
  Log(Event::kMemberJoined,
      absl::StrCat("host=", event.member.name, " zone=", event.member.zone,
                   " incarnation=", event.member.incarnation));
}

void FleetState::Handle(const MemberUnlisted& event, TimePoint now,
                        uint64_t /*wall_ms*/) {
  members_.Remove(event.name, now);
  has_unpublished_changes_ = true;
  Log(Event::kMemberRemoved, absl::StrCat("host=", event.name));
}

void FleetState::Handle(const ValueRefused& event, TimePoint /*now*/,
                        uint64_t /*wall_ms*/) {
  hooks_.log(LogLevel::kWarning, Event::kStoreValueRefused,
             absl::StrCat("key=", event.key, " reason=\"", event.reason, "\""));
}

void FleetState::Handle(const StoreRestored& /*event*/, TimePoint now,
                        uint64_t /*wall_ms*/) {
  is_reading_copy_ = true;
  // Entries written since the copy are missing until they are written again.
  targets_.RecordStoreOutage(now);
}

void FleetState::Handle(const SnapshotComplete& event, TimePoint now,
                        uint64_t wall_ms) {
  for (const std::string& id : targets_.TargetIds()) {
    if (event.target_ids.count(id) == 0) {
      Handle(TargetUnlisted{id}, now, wall_ms);
    }
  }
  for (const std::string& name : members_.ListedNames()) {
    if (event.member_names.count(name) == 0) {
      Handle(MemberUnlisted{name}, now, wall_ms);
    }
  }
  const std::set<std::string> before = store_evacuated_zones_;
  for (const std::string& zone : before) {
    if (event.evacuated_zones.count(zone) != 0) continue;
    if (is_reading_copy_) {
      unconfirmed_evacuations_[zone] = now + kEvacuationGracePeriod;
    } else {
      Handle(EvacuationChanged{zone, false}, now, wall_ms);
    }
  }
  is_reading_copy_ = false;
}

void FleetState::EndUnconfirmedEvacuations(TimePoint now) {
  std::vector<std::string> zones;
  for (const auto& [zone, end] : unconfirmed_evacuations_) {
    if (end <= now) zones.push_back(zone);
  }
  for (const std::string& zone : zones) {
    Handle(EvacuationChanged{zone, false}, now, 0);
  }
}

void FleetState::Handle(const StoreReachabilityChanged& event,
                        TimePoint /*now*/, uint64_t /*wall_ms*/) {
  if (event.is_reachable == store_reachable_) return;
  store_reachable_ = event.is_reachable;
  hooks_.log(
      event.is_reachable ? LogLevel::kInfo : LogLevel::kWarning,
      event.is_reachable ? Event::kStoreAvailable : Event::kStoreUnavailable,
      event.reason);
}

void FleetState::Handle(const HeartbeatsReceived& event, TimePoint now,
                        uint64_t /*wall_ms*/) {
  for (const PeerHeartbeat& heartbeat : event.heartbeats) {
    members_.RecordHeartbeat(heartbeat, now);
  }
}

}  // namespace greengage
