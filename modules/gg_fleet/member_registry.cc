#include "gg_fleet/member_registry.h"

#include "gg_core/hash.h"

namespace greengage {

void MemberRegistry::Put(const Member& member, TimePoint now) {
  if (member.name == options_.self.name) return;
  Row& row = rows_[member.name];
  const bool is_new_incarnation = row.member.incarnation != member.incarnation;
  row.member = member;
  row.is_in_store = true;
  row.must_be_heard = false;
  row.unheard_incarnation.reset();
  if (!is_new_incarnation) return;
  row.is_leaving = false;
  row.last_heartbeat_at.reset();
  row.registered_at = now;
}

void MemberRegistry::PutFromCopy(const Member& member, TimePoint now) {
  if (member.name == options_.self.name) return;
  const auto known = rows_.find(member.name);
  if (known == rows_.end()) {
    Put(member, now);
    rows_[member.name].must_be_heard = true;
    return;
  }
  Row& row = known->second;
  row.is_in_store = true;
  if (row.member.incarnation != member.incarnation) {
    row.unheard_incarnation = member;
  }
}

void MemberRegistry::Remove(const std::string& name, TimePoint now) {
  const auto found = rows_.find(name);
  if (found == rows_.end() || !found->second.is_in_store) return;
  found->second.is_in_store = false;
  found->second.unheard_incarnation.reset();
  found->second.removed_at = now;
}

void MemberRegistry::RecordHeartbeat(const PeerHeartbeat& heartbeat,
                                     TimePoint now) {
  const auto found = rows_.find(heartbeat.name);
  if (found == rows_.end()) return;
  Row& row = found->second;
  if (row.unheard_incarnation &&
      row.unheard_incarnation->incarnation == heartbeat.incarnation) {
    Put(Member(*row.unheard_incarnation), now);
  }
  if (row.member.incarnation != heartbeat.incarnation) return;
  row.last_heartbeat_at = now;
  row.is_leaving = heartbeat.is_leaving;
  row.store_reachable = heartbeat.store_reachable;
  row.evacuated_zones = heartbeat.evacuated_zones;
}

bool MemberRegistry::IsStoreUnreachableForAll(TimePoint now) const {
  size_t listed_count = 0;
  size_t unreachable_count = 0;
  for (const auto& [name, row] : rows_) {
    if (row.is_in_store && !row.is_leaving) ++listed_count;
    if (!HasRecentHeartbeat(row, now)) continue;
    if (row.store_reachable) return false;
    ++unreachable_count;
  }
  return listed_count == 0 || unreachable_count * 2 > listed_count;
}

std::set<std::string> MemberRegistry::PeerReportedEvacuatedZones(
    TimePoint now) const {
  std::set<std::string> zones;
  for (const auto& [name, row] : rows_) {
    if (!row.store_reachable || !HasRecentHeartbeat(row, now)) continue;
    zones.insert(row.evacuated_zones.begin(), row.evacuated_zones.end());
  }
  return zones;
}

Duration MemberRegistry::HeartbeatTimeout(const Member& member) const {
  if (member.region != options_.self.region) {
    return options_.other_region_heartbeat_timeout;
  }
  const bool is_large_fleet = rows_.size() >= options_.small_fleet_size;
  return is_large_fleet && member.zone != options_.self.zone
             ? options_.other_zone_heartbeat_timeout
             : options_.heartbeat_timeout;
}

bool MemberRegistry::HasRecentHeartbeat(const Row& row, TimePoint now) const {
  return row.last_heartbeat_at &&
         now - *row.last_heartbeat_at < HeartbeatTimeout(row.member);
}

bool MemberRegistry::IsServing(const Row& row, TimePoint now) const {
  if (row.is_leaving) return false;
  const bool was_never_heard =
      row.is_in_store && !row.must_be_heard && !row.last_heartbeat_at;
  return was_never_heard || HasRecentHeartbeat(row, now);
}

std::vector<Member> MemberRegistry::ServingMembers(TimePoint now) const {
  std::vector<Member> serving;
  for (const auto& [name, row] : rows_) {
    if (IsServing(row, now)) serving.push_back(row.member);
  }
  return serving;
}

uint64_t MemberRegistry::Fingerprint(TimePoint now) const {
  uint64_t fingerprint = 1;
  for (const auto& [name, row] : rows_) {
    const uint64_t state =
        (IsServing(row, now) ? 2U : 0U) | (MayBeSending(row, now) ? 1U : 0U);
    fingerprint = Hash64(name, fingerprint + row.member.incarnation) + state;
  }
  return Hash64(RelayAddress(now), fingerprint);
}

std::string MemberRegistry::RelayAddress(TimePoint now) const {
  if (rows_.size() + 1 <= options_.max_members_without_relay) return {};
  // The fastest link comes first, as the relay sends every change to all
  // daemons of its zone; then the lowest hash.
  const auto rank = [](const Member& member) {
    return std::pair(-member.link_mbps, Hash64(member.name));
  };
  auto best_rank = rank(options_.self);
  std::string address;
  for (const auto& [name, row] : rows_) {
    const bool can_relay = row.member.zone == options_.self.zone &&
                           row.is_in_store && !row.is_leaving &&
                           row.store_reachable && HasRecentHeartbeat(row, now);
    if (!can_relay || rank(row.member) >= best_rank) continue;
    best_rank = rank(row.member);
    address = row.member.peer_address;
  }
  return address;
}

std::set<std::string> MemberRegistry::ListedNames() const {
  std::set<std::string> names;
  for (const auto& [name, row] : rows_) {
    if (row.is_in_store) names.insert(name);
  }
  return names;
}

std::vector<std::string> MemberRegistry::PeerAddresses(
    bool is_own_region) const {
  std::vector<std::string> addresses;
  for (const auto& [name, row] : rows_) {
    const bool is_same_region = row.member.region == options_.self.region;
    if (is_same_region == is_own_region) {
      addresses.push_back(row.member.peer_address);
    }
  }
  return addresses;
}

std::vector<std::string> MemberRegistry::OwnZonePeerAddresses() const {
  std::vector<std::string> addresses;
  for (const auto& [name, row] : rows_) {
    const bool is_own_zone = row.member.region == options_.self.region &&
                             row.member.zone == options_.self.zone;
    if (is_own_zone) addresses.push_back(row.member.peer_address);
  }
  return addresses;
}

bool MemberRegistry::MayBeSending(const Row& row, TimePoint now) const {
  const bool was_removed_recently =
      now - row.removed_at < options_.sender_retention;
  const bool was_heard_recently =
      row.last_heartbeat_at &&
      now - *row.last_heartbeat_at < options_.sender_retention;
  return row.is_in_store || was_removed_recently || was_heard_recently;
}

void MemberRegistry::Tick(TimePoint now) {
  std::erase_if(rows_, [&](const auto& entry) {
    return !MayBeSending(entry.second, now);
  });
}

int MemberRegistry::SenderCount(TimePoint now) const {
  int count = 1;
  for (const auto& [name, row] : rows_) {
    if (MayBeSending(row, now)) ++count;
  }
  return count;
}

}  // namespace greengage
