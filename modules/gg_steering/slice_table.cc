#include "gg_steering/slice_table.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "gg_core/errors.h"

namespace greengage {
namespace {

bool IsFree(const HostId& owner) { return owner.address.empty(); }

/** Slices that every member can have. */
int64_t FairShare(int64_t slices, int64_t members) {
  return slices / std::max<int64_t>(members, 1);
}

/** Slices that a member may claim while some are free. */
int64_t ClaimShare(int64_t slices, int64_t members) {
  const int64_t divisor = std::max<int64_t>(members, 1);
  return (slices + divisor - 1) / divisor;
}

}  // namespace

int64_t SlicePermits(int64_t capacity, int64_t slices, int64_t index,
                     uint64_t salt) {
  if (slices <= 0) return 0;
  const auto offset =
      static_cast<int64_t>(salt % static_cast<uint64_t>(slices));
  const int64_t turned = (index + offset) % slices;
  return (turned + 1) * capacity / slices - turned * capacity / slices;
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
  // The number of slices is fixed by the first writer: a table of another size
  // would give two daemons different parts under the same index.
  if (next.owners.empty()) next.owners.resize(input.slices);
  for (HostId& owner : next.owners) {
    const bool is_earlier_self = owner.address == input.self.address &&
                                 owner.incarnation < input.self.incarnation;
    if (is_earlier_self) owner = input.self;
  }
  const int64_t share =
      ClaimShare(static_cast<int64_t>(next.owners.size()), input.members);
  int64_t owned = OwnedSlices(next, input.self);
  for (HostId& owner : next.owners) {
    if (owned >= share) break;
    const bool is_available =
        IsFree(owner) || (owner.address != input.self.address &&
                          input.is_gone && input.is_gone(owner.address));
    if (!is_available) continue;
    owner = input.self;
    ++owned;
  }
  return next;
}

std::vector<int64_t> ExcessSlices(const SliceTable& table, const HostId& self,
                                  int64_t members) {
  const auto slices = static_cast<int64_t>(table.owners.size());
  const int64_t share = FairShare(slices, members);
  std::vector<int64_t> excess;
  std::set<std::string> owners;
  int64_t free_slices = 0;
  for (const HostId& owner : table.owners) {
    if (IsFree(owner)) {
      ++free_slices;
    } else {
      owners.insert(owner.address);
    }
  }
  const int64_t missing =
      std::max<int64_t>(members - static_cast<int64_t>(owners.size()), 0);
  if (free_slices >= missing * share) return excess;
  int64_t kept = 0;
  for (int64_t i = 0; i < slices; ++i) {
    if (table.owners[i] != self) continue;
    if (++kept > std::max<int64_t>(share, 1)) excess.push_back(i);
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
  const auto broken = [] {
    return StepError(absl::StatusCode::kDataLoss, Step::kStoreCall, "slices",
                     "the slice table in the store cannot be read");
  };
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("owners")) return broken();
  SliceTable table;
  try {
    for (const auto& item : json["owners"]) {
      table.owners.push_back(
          {item.at(0).get<std::string>(), item.at(1).get<uint64_t>()});
    }
  } catch (const nlohmann::json::exception&) {
    return broken();
  }
  return table;
}

}  // namespace greengage
