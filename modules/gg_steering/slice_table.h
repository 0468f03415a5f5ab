#ifndef GG_STEERING_SLICE_TABLE_H_
#define GG_STEERING_SLICE_TABLE_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "gg_core/host_id.h"

namespace greengage {

/** Owners of the slices into which the capacity of every region is divided.

    The table is one value in the platform's store and changes only by
    compare-and-swap. A slice has at most one owner, so the budgets of all
    daemons together never exceed the capacity, whatever the daemons believe
    about each other. */
struct SliceTable {
  std::vector<HostId> owners;  // by slice; an empty address means free

  friend bool operator==(const SliceTable&, const SliceTable&) = default;
};

/** Returns the permits that slice `index` of `slices` holds in a region with
    `capacity`. The permits of all slices add up to exactly the capacity.
    @param salt  rotates the slices, so that the remainders of the division fall
                 on different slices in different regions. */
int64_t SlicePermits(int64_t capacity, int64_t slices, int64_t index,
                     uint64_t salt);

/** Returns the permits of `owner` in a region under `table`. */
int64_t OwnedPermits(const SliceTable& table, const HostId& owner,
                     int64_t capacity, uint64_t salt);

/** Returns the number of slices owned by `owner`. */
int64_t OwnedSlices(const SliceTable& table, const HostId& owner);

/** Parameters of PlanSliceClaim(). */
struct SliceClaimInput {
  HostId self;
  int64_t slices = 0;            // number of slices by the document
  std::set<std::string> living;  // addresses, this daemon's included
  /** Returns whether the platform has left the host out of its list for long
      enough that its slices may be taken. */
  std::function<bool(const std::string& address)> is_gone;
};

/** Returns the table after `input.self` has claimed its fair share: first all
    slices of an earlier incarnation at its own address, then free slices and
    those of hosts that are gone. It claims one slice beyond its share when more
    slices are free than all living daemons lack for their shares. Returns a
    copy of `table` when there is nothing to claim. */
SliceTable PlanSliceClaim(const SliceTable& table,
                          const SliceClaimInput& input);

/** Returns the indices of the slices that `self` should release: those beyond
    its share, as many as other living daemons lack and free slices do not
    provide. */
std::vector<int64_t> ExcessSlices(const SliceTable& table, const HostId& self,
                                  const std::set<std::string>& living);

/** Returns the JSON text of the table, as kept in the store. */
std::string SliceTableToJson(const SliceTable& table);

/** Parses the JSON text of a table; kDataLoss when it is malformed. */
absl::StatusOr<SliceTable> SliceTableFromJson(const std::string& text);

}  // namespace greengage

#endif  // GG_STEERING_SLICE_TABLE_H_
