#include "gg_fleet/member_registry.h"

#include "gg_core/hash.h"

namespace greengage {

void MemberRegistry::Put(const Member& member, TimePoint now) {
  if (member.name == options_.self.name) return;
  Row& row = rows_[member.name];
  const bool is_new_run = row.member.incarnation != member.incarnation;
  row.member = member;
  row.in_store = true;
  if (!is_new_run) return;
  row.is_leaving = false;
  row.heard_at.reset();
  row.entered_at = now;
}

void MemberRegistry::Remove(const std::string& name, TimePoint now) {
  const auto found = rows_.find(name);
  if (found == rows_.end() || !found->second.in_store) return;
  found->second.in_store = false;
  found->second.left_at = now;
}

void MemberRegistry::Heard(const HeartbeatHeard& heartbeat, TimePoint now) {
  const auto found = rows_.find(heartbeat.name);
  if (found == rows_.end()) return;
  Row& row = found->second;
  if (row.member.incarnation != heartbeat.incarnation) return;
  row.heard_at = now;
  row.is_leaving = heartbeat.is_leaving;
  row.store_reachable = heartbeat.store_reachable;
  row.evacuated = heartbeat.evacuated;
}

bool MemberRegistry::StoreFailsEveryone(TimePoint now) const {
  size_t known = 0;
  size_t failing = 0;
  for (const auto& [name, row] : rows_) {
    if (row.in_store && !row.is_leaving) ++known;
    if (!IsHeard(row, now)) continue;
    if (row.store_reachable) return false;
    ++failing;
  }
  return known == 0 || failing * 2 > known;
}

std::set<std::string> MemberRegistry::EvacuatedForOthers(TimePoint now) const {
  std::set<std::string> zones;
  for (const auto& [name, row] : rows_) {
    if (!row.store_reachable || !IsHeard(row, now)) continue;
    zones.insert(row.evacuated.begin(), row.evacuated.end());
  }
  return zones;
}

bool MemberRegistry::IsHeard(const Row& row, TimePoint now) const {
  const bool is_near = row.member.region == options_.self.region;
  return row.heard_at &&
         now - *row.heard_at <
             (is_near ? options_.suspect_after : options_.suspect_far_after);
}

bool MemberRegistry::IsServing(const Row& row, TimePoint now) const {
  if (row.is_leaving) return false;
  const bool was_never_heard = row.in_store && !row.heard_at;
  return was_never_heard || IsHeard(row, now);
}

std::vector<Member> MemberRegistry::Serving(TimePoint now) const {
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
        (IsServing(row, now) ? 2U : 0U) | (CountsAsSender(row, now) ? 1U : 0U);
    fingerprint = Hash64(name, fingerprint + row.member.incarnation) + state;
  }
  return Hash64(RelayAddress(now), fingerprint);
}

std::string MemberRegistry::RelayAddress(TimePoint now) const {
  if (rows_.size() + 1 <= options_.small_fleet) return {};
  uint64_t least = Hash64(options_.self.name);
  std::string address;
  for (const auto& [name, row] : rows_) {
    const bool can_relay = row.member.zone == options_.self.zone &&
                           row.in_store && !row.is_leaving &&
                           row.store_reachable && IsHeard(row, now);
    if (!can_relay || Hash64(name) >= least) continue;
    least = Hash64(name);
    address = row.member.peer_address;
  }
  return address;
}

std::set<std::string> MemberRegistry::ListedNames() const {
  std::set<std::string> names;
  for (const auto& [name, row] : rows_) {
    if (row.in_store) names.insert(name);
  }
  return names;
}

std::vector<std::string> MemberRegistry::PeerAddresses(bool own_region) const {
  std::vector<std::string> addresses;
  for (const auto& [name, row] : rows_) {
    const bool is_near = row.member.region == options_.self.region;
    if (is_near == own_region) addresses.push_back(row.member.peer_address);
  }
  return addresses;
}

bool MemberRegistry::CountsAsSender(const Row& row, TimePoint now) const {
  const bool left_lately = now - row.left_at < options_.sender_memory;
  const bool is_heard =
      row.heard_at && now - *row.heard_at < options_.sender_memory;
  return row.in_store || left_lately || is_heard;
}

void MemberRegistry::Tick(TimePoint now) {
  std::erase_if(rows_, [&](const auto& entry) {
    return !CountsAsSender(entry.second, now);
  });
}

int MemberRegistry::SenderCount(TimePoint now) const {
  int count = 1;
  for (const auto& [name, row] : rows_) {
    if (CountsAsSender(row, now)) ++count;
  }
  return count;
}

}  // namespace greengage
