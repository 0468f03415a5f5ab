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

/** Owners of the equal slices into which every region's capacity is cut.

    Kept as one value in the platform's store and changed by compare-and-swap
    only. A slice has at most one owner, so the sum of all budgets is at most
   the capacity whatever daemons believe about each other. A free slice has an
   owner with an empty address. */
struct SliceTable {
  std::vector<HostId> owners;

  friend bool operator==(const SliceTable&, const SliceTable&) = default;
};

/** Returns the part of `capacity` that slice `index` of `slices` carries. The
    parts add up to the capacity exactly.
    @param salt  turns the order, so that the remainders of different regions
                 fall on different slices. */
int64_t SlicePermits(int64_t capacity, int64_t slices, int64_t index,
                     uint64_t salt);

/** Returns the permits of `owner` in a region under `table`. */
int64_t OwnedPermits(const SliceTable& table, const HostId& owner,
                     int64_t capacity, uint64_t salt);

/** Returns the number of slices owned by `owner`. */
int64_t OwnedSlices(const SliceTable& table, const HostId& owner);

/** What PlanSliceClaim() needs to know. */
struct SliceClaimInput {
  HostId self;
  int64_t slices = 0;            // of the document
  std::set<std::string> living;  // addresses, this daemon's included
  /** True when the platform no longer lists the address, for long enough. */
  std::function<bool(const std::string& address)> is_gone;
};

/** Returns the table after `input.self` has claimed its fair share: first all
    slices of an earlier incarnation at its own address, then free slices and
    those of hosts that are gone. Returns `table` itself when nothing changes.
 */
SliceTable PlanSliceClaim(const SliceTable& table,
                          const SliceClaimInput& input);

/** Returns the indices of slices that `self` should give up: those over its
    share, as far as living daemons lack theirs and free slices do not cover it.
 */
std::vector<int64_t> ExcessSlices(const SliceTable& table, const HostId& self,
                                  const std::set<std::string>& living);

/** Returns the table as the JSON text that stands in the store. */
std::string SliceTableToJson(const SliceTable& table);

/** Parses the text; kDataLoss when it cannot be read. */
absl::StatusOr<SliceTable> SliceTableFromJson(const std::string& text);

}  // namespace greengage

#endif  // GG_STEERING_SLICE_TABLE_H_
