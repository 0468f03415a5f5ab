#include "gg_steering/slice_ownership.h"

#include <algorithm>

#include "gg_core/hash.h"

namespace greengage {

bool SliceOwnership::Apply(const SliceTable& table, uint64_t revision,
                           Duration quarantine, TimePoint now) {
  if (revision <= revision_) return false;
  for (size_t i = 0; i < table.owners.size(); ++i) {
    const auto slice = static_cast<int64_t>(i);
    if (table.owners[i] != options_.self) {
      usable_from_.erase(slice);
      releasing_slices_.erase(slice);
      continue;
    }
    if (usable_from_.count(slice) != 0) continue;
    // A slice needs no quarantine when it was free in the table on which the
    // claim was planned and the claim was the next write: then nobody else
    // owned it in between.
    const bool was_free = i < table_.owners.size()
                              ? table_.owners[i].address.empty()
                              : table_.owners.empty();
    const bool is_next_revision = claim_base_revision_ == revision_;
    usable_from_[slice] = was_free && is_next_revision ? now : now + quarantine;
  }
  table_ = table;
  revision_ = revision;
  return true;
}

void SliceOwnership::ApplyHosts(const HostList& hosts, TimePoint now) {
  has_host_list_ = true;
  ever_listed_hosts_.insert(hosts.addresses.begin(), hosts.addresses.end());
  for (const HostId& owner : table_.owners) {
    if (hosts.addresses.count(owner.address) != 0) {
      unlisted_since_.erase(owner.address);
    } else {
      unlisted_since_.try_emplace(owner.address, now);
    }
  }
}

std::optional<SliceTable> SliceOwnership::PlanClaim(
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
  claim_base_revision_ = revision_;
  return next;
}

void SliceOwnership::MarkSlicesForRelease(const std::set<std::string>& living,
                                          bool is_leaving) {
  if (is_leaving) {
    for (size_t i = 0; i < table_.owners.size(); ++i) {
      if (table_.owners[i] == options_.self) {
        releasing_slices_.insert(static_cast<int64_t>(i));
      }
    }
    return;
  }
  // A marked slice is not used again, because the write that frees it may be
  // under way.
  const std::vector<int64_t> excess =
      ExcessSlices(table_, options_.self, living);
  releasing_slices_.insert(excess.begin(), excess.end());
}

std::optional<SliceTable> SliceOwnership::TableAfterRelease() const {
  if (releasing_slices_.empty()) return std::nullopt;
  SliceTable next = table_;
  for (const int64_t slice : releasing_slices_) next.owners[slice] = HostId{};
  return next;
}

int64_t SliceOwnership::UsablePermits(const std::string& region,
                                      int64_t capacity, TimePoint now) const {
  const auto slices = static_cast<int64_t>(table_.owners.size());
  const uint64_t salt = Hash64(region);
  int64_t permits = 0;
  for (const auto& [slice, usable_at] : usable_from_) {
    if (!IsUsable(slice, now)) continue;
    permits += SlicePermits(capacity, slices, slice, salt);
  }
  return permits;
}

double SliceOwnership::UsableFraction(TimePoint now) const {
  if (table_.owners.empty()) return 0;
  const auto usable =
      std::count_if(usable_from_.begin(), usable_from_.end(),
                    [&](const auto& e) { return IsUsable(e.first, now); });
  return static_cast<double>(usable) /
         static_cast<double>(table_.owners.size());
}

bool SliceOwnership::IsUsable(int64_t slice, TimePoint now) const {
  return !is_suspended_ && releasing_slices_.count(slice) == 0 &&
         usable_from_.at(slice) <= now;
}

bool SliceOwnership::IsGone(const std::string& address, TimePoint now) const {
  if (!has_host_list_) return false;
  const auto unlisted = unlisted_since_.find(address);
  if (unlisted == unlisted_since_.end()) return false;
  const Duration required_time = ever_listed_hosts_.count(address) != 0
                                     ? options_.gone_after
                                     : options_.never_listed_after;
  return now - unlisted->second >= required_time;
}

}  // namespace greengage
