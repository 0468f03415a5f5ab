#include "gg_steering/membership.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gg_core/hash.h"

namespace greengage {
namespace {

/** Returns the record's part of the digest. Removed members do not count,
    because daemons drop their records at different times. */
uint64_t RecordHash(const MemberRecord& record) {
  if (record.state == MemberState::kRemoved) return 0;
  return Hash64(absl::StrCat(record.id.address, "/", record.id.incarnation, "/",
                             record.version, "/",
                             static_cast<int>(record.state)));
}

}  // namespace

Membership::Membership(Options options, TimePoint now)
    : options_(std::move(options)), self_(options_.self), last_tick_(now) {
  SetRecord(self_, now);
}

bool Membership::Merge(const MemberRecord& record, TimePoint now) {
  if (record.id.address == self_.id.address) {
    if (record == self_ || !Supersedes(record, self_)) return false;
    Refute(record, now);
    return true;
  }
  const auto found = entries_.find(record.id.address);
  const bool is_known = found != entries_.end();
  if (is_known && !Supersedes(record, found->second.record)) return false;
  if (!is_known && record.state == MemberState::kRemoved) return false;
  SetRecord(record, now);
  NotifyChange(record);
  return true;
}

void Membership::RecordContact(const HostId& id, TimePoint now) {
  const auto heard = last_heard_.find(id.address);
  if (heard == last_heard_.end()) return;
  const auto entry = entries_.find(id.address);
  const bool is_current = entry != entries_.end() &&
                          entry->second.record.id.incarnation <= id.incarnation;
  if (is_current) heard->second = std::max(heard->second, now);
}

void Membership::Tick(TimePoint now) {
  const bool was_paused = now - last_tick_ >= options_.suspect_after / 2;
  last_tick_ = now;
  if (was_paused) {
    for (auto& [address, heard_at] : last_heard_) heard_at = now;
  }
  std::vector<MemberRecord> changed;
  for (const auto& [address, heard_at] : last_heard_) {
    const MemberRecord& record = entries_.at(address).record;
    const bool can_suspect = record.state < MemberState::kSuspect;
    if (can_suspect && now - heard_at >= options_.suspect_after) {
      changed.push_back(record);
      changed.back().state = MemberState::kSuspect;
    }
  }
  for (const auto& [address, entry] : entries_) {
    if (entry.record.state == MemberState::kSuspect &&
        now - entry.changed_at >= options_.remove_after) {
      changed.push_back(entry.record);
      changed.back().state = MemberState::kRemoved;
    }
  }
  for (const MemberRecord& record : changed) Merge(record, now);
  std::erase_if(entries_, [&](const auto& item) {
    return item.second.record.state == MemberState::kRemoved &&
           now - item.second.changed_at >= options_.forget_after;
  });
}

void Membership::Leave(TimePoint now) {
  self_.state = MemberState::kLeaving;
  ++self_.version;
  SetRecord(self_, now);
  NotifyChange(self_);
}

std::vector<MemberRecord> Membership::Members() const {
  std::vector<MemberRecord> members;
  for (const auto& [address, entry] : entries_) {
    if (entry.record.state != MemberState::kRemoved) {
      members.push_back(entry.record);
    }
  }
  return members;
}

std::vector<MemberRecord> Membership::AllRecords() const {
  std::vector<MemberRecord> records;
  records.reserve(entries_.size());
  for (const auto& [address, entry] : entries_) {
    records.push_back(entry.record);
  }
  return records;
}

const MemberRecord* Membership::Find(const std::string& address) const {
  const auto found = entries_.find(address);
  return found == entries_.end() ? nullptr : &found->second.record;
}

int64_t Membership::LivingCount() const {
  return std::count_if(entries_.begin(), entries_.end(), [](const auto& item) {
    return item.second.record.state < MemberState::kSuspect;
  });
}

void Membership::SetRecord(const MemberRecord& record, TimePoint now) {
  Entry& entry = entries_[record.id.address];
  const bool is_new = entry.record.id.address.empty();
  const bool was_living = !is_new && entry.record.state < MemberState::kSuspect;
  const bool is_living = record.state < MemberState::kSuspect;
  if (!is_new) digest_ -= RecordHash(entry.record);
  digest_ += RecordHash(record);
  entry = {record, now};
  if (was_living != is_living) UpdateNeighbours(now);
}

void Membership::Refute(const MemberRecord& claim, TimePoint now) {
  // A record of another incarnation is not refuted: a later one can only come
  // from a process that bound the same port after this one.
  if (claim.id.incarnation != self_.id.incarnation) return;
  self_.version = claim.version + 1;
  SetRecord(self_, now);
  NotifyChange(self_);
}

void Membership::UpdateNeighbours(TimePoint now) {
  std::vector<OverlayNode> nodes;
  for (const auto& [address, entry] : entries_) {
    if (entry.record.state >= MemberState::kSuspect) continue;
    nodes.push_back({address, entry.record.zone});
  }
  neighbours_ = OverlayNeighbours(nodes, self_.id.address, options_.overlay);
  std::map<std::string, TimePoint> last_heard;
  for (const std::string& address : neighbours_) {
    const auto known = last_heard_.find(address);
    last_heard[address] = known == last_heard_.end() ? now : known->second;
  }
  last_heard_ = std::move(last_heard);
}

void Membership::NotifyChange(const MemberRecord& record) const {
  if (options_.on_change) options_.on_change(record);
}

}  // namespace greengage
