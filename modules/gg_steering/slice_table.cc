#include "gg_steering/slice_table.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "gg_core/errors.h"

namespace greengage {
namespace {

bool IsFree(const HostId& owner) { return owner.address.empty(); }

/** Returns the number of slices for each living daemon, rounded down. */
int64_t FairShare(const SliceTable& table,
                  const std::set<std::string>& living) {
  return static_cast<int64_t>(table.owners.size()) /
         std::max<int64_t>(static_cast<int64_t>(living.size()), 1);
}

/** Supply of free slices and the demand of the other daemons for them. */
struct SliceBalance {
  int64_t free = 0;       // slices without an owner
  int64_t shortfall = 0;  // total number of slices by which the other living
                          // daemons are below their fair shares
};

SliceBalance BalanceOf(const SliceTable& table, const HostId& self,
                       const std::set<std::string>& living) {
  SliceBalance balance;
  std::map<std::string, int64_t> owned;
  for (const HostId& owner : table.owners) {
    ++(IsFree(owner) ? balance.free : owned[owner.address]);
  }
  const int64_t share = FairShare(table, living);
  for (const std::string& address : living) {
    if (address == self.address) continue;
    balance.shortfall += std::max<int64_t>(share - owned[address], 0);
  }
  return balance;
}

}  // namespace

int64_t SlicePermits(int64_t capacity, int64_t slices, int64_t index,
                     uint64_t salt) {
  if (slices <= 0) return 0;
  const auto offset =
      static_cast<int64_t>(salt % static_cast<uint64_t>(slices));
  const int64_t rotated = (index + offset) % slices;
  return (rotated + 1) * capacity / slices - rotated * capacity / slices;
}

int64_t OwnedPermits(const SliceTable& table, const HostId& owner,
                     int64_t capacity, uint64_t salt) {
  const auto slices = static_cast<int64_t>(table.owners.size());
  int64_t permits = 0;
  for (int64_t i = 0; i < slices; ++i) {
    if (table.owners[i] == owner) {
      permits += SlicePermits(capacity, slices, i, salt);
    }
  }
  return permits;
}

int64_t OwnedSlices(const SliceTable& table, const HostId& owner) {
  return std::count(table.owners.begin(), table.owners.end(), owner);
}

SliceTable PlanSliceClaim(const SliceTable& table,
                          const SliceClaimInput& input) {
  SliceTable next = table;
  // The first writer fixes the number of slices. With tables of different sizes
  // two daemons would derive different permits from the same index.
  if (next.owners.empty()) next.owners.resize(input.slices);
  for (HostId& owner : next.owners) {
    const bool is_earlier_self = owner.address == input.self.address &&
                                 owner.incarnation < input.self.incarnation;
    if (is_earlier_self) owner = input.self;
  }
  const int64_t share = FairShare(next, input.living);
  const SliceBalance balance = BalanceOf(next, input.self, input.living);
  int64_t owned = OwnedSlices(next, input.self);
  int64_t spare =
      balance.free - std::max<int64_t>(share - owned, 0) - balance.shortfall;
  for (HostId& owner : next.owners) {
    const bool is_gone = !IsFree(owner) &&
                         owner.address != input.self.address && input.is_gone &&
                         input.is_gone(owner.address);
    if (!IsFree(owner) && !is_gone) continue;
    if (owned >= share && (owned > share || spare <= 0)) break;
    if (owned >= share) --spare;
    owner = input.self;
    ++owned;
  }
  return next;
}

std::vector<int64_t> ExcessSlices(const SliceTable& table, const HostId& self,
                                  const std::set<std::string>& living) {
  const SliceBalance balance = BalanceOf(table, self, living);
  const int64_t wanted = balance.shortfall - balance.free;
  const int64_t share = std::max<int64_t>(FairShare(table, living), 1);
  std::vector<int64_t> excess;
  int64_t kept = 0;
  for (size_t i = 0; i < table.owners.size(); ++i) {
    if (table.owners[i] != self || ++kept <= share) continue;
    if (static_cast<int64_t>(excess.size()) >= wanted) break;
    excess.push_back(static_cast<int64_t>(i));
  }
  return excess;
}

std::string SliceTableToJson(const SliceTable& table) {
  nlohmann::json owners = nlohmann::json::array();
  for (const HostId& owner : table.owners) {
    owners.push_back({owner.address, owner.incarnation});
  }
  return nlohmann::json{{"owners", owners}}.dump();
}

absl::StatusOr<SliceTable> SliceTableFromJson(const std::string& text) {
  const auto malformed = [] {
    return StepError(absl::StatusCode::kDataLoss, Step::kStoreCall, "slices",
                     "the slice table in the store cannot be read");
  };
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("owners")) return malformed();
  SliceTable table;
  try {
    for (const auto& item : json["owners"]) {
      if (!item.at(1).is_number_unsigned()) return malformed();
      table.owners.push_back(
          {item.at(0).get<std::string>(), item.at(1).get<uint64_t>()});
    }
  } catch (const nlohmann::json::exception&) {
    return malformed();
  }
  return table;
}

}  // namespace greengage
