#include "gg_steering/slice_keeper.h"

#include <algorithm>

#include "gg_core/hash.h"

namespace greengage {

bool SliceKeeper::Apply(const SliceTable& table, uint64_t revision,
                        Duration quarantine, TimePoint now) {
  if (revision <= revision_) return false;
  for (size_t i = 0; i < table.owners.size(); ++i) {
    const auto slice = static_cast<int64_t>(i);
    if (table.owners[i] != options_.self) {
      usable_at_.erase(slice);
      releasing_.erase(slice);
      continue;
    }
    if (usable_at_.count(slice) != 0) continue;
    // Only a slice that was seen free and then claimed by the very next write
    // is known to have had no other holder in between.
    const bool was_free = i < table_.owners.size()
                              ? table_.owners[i].address.empty()
                              : table_.owners.empty();
    const bool is_next = claim_base_ == revision_;
    usable_at_[slice] = was_free && is_next ? now : now + quarantine;
  }
  table_ = table;
  revision_ = revision;
  return true;
}

void SliceKeeper::ApplyHosts(const HostList& hosts, TimePoint now) {
  has_hosts_ = true;
  ever_listed_.insert(hosts.addresses.begin(), hosts.addresses.end());
  for (const HostId& owner : table_.owners) {
    if (hosts.addresses.count(owner.address) != 0) {
      missing_since_.erase(owner.address);
    } else {
      missing_since_.try_emplace(owner.address, now);
    }
  }
}

std::optional<SliceTable> SliceKeeper::PlanClaim(
    int64_t slices, const std::set<std::string>& living, TimePoint now) {
  const SliceClaimInput input{.self = options_.self,
                              .slices = slices,
                              .living = living,
                              .is_gone = [&](const std::string& address) {
                                return living.count(address) == 0 &&
                                       IsGone(address, now);
                              }};
  SliceTable next = PlanSliceClaim(table_, input);
  if (next == table_) return std::nullopt;
  claim_base_ = revision_;
  return next;
}

void SliceKeeper::PlanRelease(const std::set<std::string>& living,
                              bool is_leaving) {
  if (is_leaving) {
    for (size_t i = 0; i < table_.owners.size(); ++i) {
      if (table_.owners[i] == options_.self) {
        releasing_.insert(static_cast<int64_t>(i));
      }
    }
    return;
  }
  // A slice that is being given up is never taken back into use: the write that
  // frees it may be under way.
  const std::vector<int64_t> excess =
      ExcessSlices(table_, options_.self, living);
  releasing_.insert(excess.begin(), excess.end());
}

std::optional<SliceTable> SliceKeeper::ReleasedTable() const {
  if (releasing_.empty()) return std::nullopt;
  SliceTable next = table_;
  for (const int64_t slice : releasing_) next.owners[slice] = HostId{};
  return next;
}

int64_t SliceKeeper::UsablePermits(const std::string& region, int64_t capacity,
                                   TimePoint now) const {
  const auto slices = static_cast<int64_t>(table_.owners.size());
  const uint64_t salt = Hash64(region);
  int64_t permits = 0;
  for (const auto& [slice, usable_at] : usable_at_) {
    if (!IsUsable(slice, now)) continue;
    permits += SlicePermits(capacity, slices, slice, salt);
  }
  return permits;
}

double SliceKeeper::UsableShare(TimePoint now) const {
  if (table_.owners.empty()) return 0;
  const auto usable =
      std::count_if(usable_at_.begin(), usable_at_.end(),
                    [&](const auto& e) { return IsUsable(e.first, now); });
  return static_cast<double>(usable) /
         static_cast<double>(table_.owners.size());
}

bool SliceKeeper::IsUsable(int64_t slice, TimePoint now) const {
  return !suspended_ && releasing_.count(slice) == 0 &&
         usable_at_.at(slice) <= now;
}

bool SliceKeeper::IsGone(const std::string& address, TimePoint now) const {
  if (!has_hosts_) return false;
  const auto missing = missing_since_.find(address);
  if (missing == missing_since_.end()) return false;
  const Duration needed = ever_listed_.count(address) != 0
                              ? options_.gone_after
                              : options_.never_listed_after;
  return now - missing->second >= needed;
}

}  // namespace greengage
