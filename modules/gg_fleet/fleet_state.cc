#include "gg_fleet/fleet_state.h"

#include <map>
#include <utility>

#include "absl/strings/str_cat.h"

namespace greengage {
namespace {

/** The zones that only one of the sets has, each with what happened to it. */
std::map<std::string, Event> Differences(const std::set<std::string>& before,
                                         const std::set<std::string>& after) {
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
  std::visit([&](const auto& typed) { On(typed, now, wall_ms); }, event);
}

void FleetState::Tick(TimePoint now) {
  if (!store_reachable_ && members_.StoreFailsEveryone(now)) {
    targets_.NoteOutage(now);
  }
  if (targets_.Tick(now)) is_dirty_ = true;
  members_.Tick(now);
  KeepEvacuatedEmpty(now);
  const uint64_t members = members_.Fingerprint(now);
  if (!is_dirty_ && members == published_members_) return;
  is_dirty_ = false;
  published_members_ = members;
  published_ = MakeView(now);
  hooks_.publish(std::make_shared<FleetView>(published_));
}

void FleetState::KeepEvacuatedEmpty(TimePoint now) {
  std::set<std::string> zones = evacuated_;
  // Without the store the word of daemons that have it counts.
  if (!store_reachable_) zones.merge(members_.EvacuatedForOthers(now));
  if (zones == kept_empty_) return;
  for (const auto& [zone, event] : Differences(kept_empty_, zones)) {
    Log(event, absl::StrCat("zone=", zone,
                            " store_reachable=", store_reachable_ ? 1 : 0));
  }
  kept_empty_ = std::move(zones);
  targets_.SetEvacuated(kept_empty_, config_.get(), now);
  is_dirty_ = true;
}

FleetView FleetState::MakeView(TimePoint now) const {
  return {.sequence = published_.sequence + 1,
          .config = config_,
          .targets = targets_.Usable(),
          .evacuated = evacuated_,
          .serving = members_.Serving(now),
          .near_peers = members_.PeerAddresses(true),
          .far_peers = members_.PeerAddresses(false),
          .relay_address = members_.RelayAddress(now),
          .sender_count = members_.SenderCount(now)};
}

void FleetState::Log(Event event, const std::string& text) const {
  hooks_.log(LogLevel::kInfo, event, text);
}

void FleetState::On(const ConfigRead& event, TimePoint /*now*/,
                    uint64_t /*wall_ms*/) {
  const uint64_t held = config_ == nullptr ? 0 : config_->version;
  if (config_ != nullptr && event.config->version <= held) return;
  config_ = event.config;
  is_dirty_ = true;
  Log(Event::kConfigInForce,
      absl::StrCat("version=", config_->version, " previous=", held,
                   " routes=", config_->routes.size()));
}

void FleetState::On(const TargetListed& event, TimePoint now,
                    uint64_t wall_ms) {
  targets_.Put(event.record, config_.get(), now, wall_ms);
  is_dirty_ = true;
  const TargetRecord& record = event.record;
  Log(record.is_draining ? Event::kTargetDraining : Event::kTargetListed,
      absl::StrCat("target=", record.id, " service=", record.service,
                   " address=", record.address, " zone=", record.zone,
                   " incarnation=", record.incarnation_ms,
                   " cold_s=", ToSeconds(record.cold_left)));
}

void FleetState::On(const TargetUnlisted& event, TimePoint now,
                    uint64_t /*wall_ms*/) {
  targets_.Remove(event.id, now);
  is_dirty_ = true;
  Log(Event::kTargetUnlisted,
      absl::StrCat("target=", event.id,
                   " store_reachable=", store_reachable_ ? 1 : 0));
}

void FleetState::On(const EvacuationChanged& event, TimePoint now,
                    uint64_t /*wall_ms*/) {
  std::set<std::string> zones = evacuated_;
  if (event.is_evacuated) {
    zones.insert(event.zone);
  } else {
    zones.erase(event.zone);
  }
  if (zones == evacuated_) return;
  evacuated_ = zones;
  is_dirty_ = true;
  KeepEvacuatedEmpty(now);
}

void FleetState::On(const MemberListed& event, TimePoint now,
                    uint64_t /*wall_ms*/) {
  members_.Put(event.member, now);
  is_dirty_ = true;
  Log(Event::kMemberJoined,
      absl::StrCat("host=", event.member.name, " zone=", event.member.zone,
                   " incarnation=", event.member.incarnation));
}

void FleetState::On(const MemberUnlisted& event, TimePoint now,
                    uint64_t /*wall_ms*/) {
  members_.Remove(event.name, now);
  is_dirty_ = true;
  Log(Event::kMemberRemoved, absl::StrCat("host=", event.name));
}

void FleetState::On(const ValueRefused& event, TimePoint /*now*/,
                    uint64_t /*wall_ms*/) {
  hooks_.log(LogLevel::kWarning, Event::kStoreValueRefused,
             absl::StrCat("key=", event.key, " reason=\"", event.reason, "\""));
}

void FleetState::On(const SnapshotComplete& event, TimePoint now,
                    uint64_t wall_ms) {
  for (const std::string& id : targets_.Ids()) {
    if (event.target_ids.count(id) == 0) On(TargetUnlisted{id}, now, wall_ms);
  }
  for (const std::string& name : members_.ListedNames()) {
    if (event.member_names.count(name) == 0) {
      On(MemberUnlisted{name}, now, wall_ms);
    }
  }
  const std::set<std::string> before = evacuated_;
  for (const std::string& zone : before) {
    if (event.evacuated_zones.count(zone) == 0) {
      On(EvacuationChanged{zone, false}, now, wall_ms);
    }
  }
}

void FleetState::On(const StoreReachable& event, TimePoint /*now*/,
                    uint64_t /*wall_ms*/) {
  if (event.is_reachable == store_reachable_) return;
  store_reachable_ = event.is_reachable;
  hooks_.log(
      event.is_reachable ? LogLevel::kInfo : LogLevel::kWarning,
      event.is_reachable ? Event::kStoreAvailable : Event::kStoreUnavailable,
      event.reason);
}

void FleetState::On(const HeartbeatsHeard& event, TimePoint now,
                    uint64_t /*wall_ms*/) {
  for (const HeartbeatHeard& heartbeat : event.heartbeats) {
    members_.Heard(heartbeat, now);
  }
}

}  // namespace greengage
