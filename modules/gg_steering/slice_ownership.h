#ifndef GG_STEERING_SLICE_OWNERSHIP_H_
#define GG_STEERING_SLICE_OWNERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gg_core/host_id.h"
#include "gg_core/time.h"
#include "gg_steering/slice_table.h"

namespace greengage {

/** Platform's list of hosts as last read. */
struct HostList {
  std::set<std::string> addresses;
};

/** Decides when this daemon claims and gives up slices.

    A slice taken over from an earlier holder is used only after everything the
    holder may have lent or started has ended. A slice is given up in two steps:
    first it is no longer used, and when nothing runs on it any more it is freed
   by a compare-and-swap. One thread at a time. */
class SliceOwnership {
 public:
  struct Options {
    HostId self;
    /** Time for which the platform's list must have lacked a host before its
        slices may be taken. Longer than the list lags. */
    Duration gone_after = std::chrono::minutes(2);
    /** The same for a host that this daemon never saw on the list. */
    Duration never_listed_after = std::chrono::minutes(10);
  };

  explicit SliceOwnership(Options options) : options_(std::move(options)) {}

  //==============================================================================
  /** Takes in the table at a store revision; an older one is ignored.
      @param quarantine  how long slices of an earlier holder stay unused.
      @return true when the table is newer. */
  bool Apply(const SliceTable& table, uint64_t revision, Duration quarantine,
             TimePoint now);

  /** Takes in the platform's list of hosts. */
  void ApplyHosts(const HostList& hosts, TimePoint now);

  //==============================================================================
  /** Returns the table to write, if any, to claim this daemon's share.
      @param living  addresses that membership believes alive. */
  std::optional<SliceTable> PlanClaim(int64_t slices,
                                      const std::set<std::string>& living,
                                      TimePoint now);

  /** Stops using slices over the fair share, or all of them when leaving. */
  void MarkSlicesForRelease(const std::set<std::string>& living,
                            bool is_leaving);

  /** Returns the table to write once nothing runs on the slices being given up;
      nothing when there are none. */
  std::optional<SliceTable> TableAfterRelease() const;

  //==============================================================================
  /** Returns the permits usable now in a region. */
  int64_t UsablePermits(const std::string& region, int64_t capacity,
                        TimePoint now) const;

  /** Returns the part of all links that this daemon may use now, 0 to 1. */
  double UsableFraction(TimePoint now) const;

  /** Stops the use of all slices until the table has been confirmed. */
  void Suspend() { is_suspended_ = true; }

  /** The table is known to be current again. */
  void Resume() { is_suspended_ = false; }

  int64_t owned() const { return OwnedSlices(table_, options_.self); }
  uint64_t revision() const { return revision_; }
  const SliceTable& table() const { return table_; }

 private:
  bool IsUsable(int64_t slice, TimePoint now) const;
  bool IsGone(const std::string& address, TimePoint now) const;

  Options options_;
  SliceTable table_;
  uint64_t revision_ = 0;
  uint64_t claim_base_revision_ =
      ~uint64_t{0};  // revision the last claim was planned on
  std::map<int64_t, TimePoint> usable_from_;  // by slice
  std::set<int64_t> releasing_slices_;
  std::set<std::string> ever_listed_hosts_;
  std::map<std::string, TimePoint> unlisted_since_;
  bool has_host_list_ = false;
  bool is_suspended_ = false;
};

}  // namespace greengage

#endif  // GG_STEERING_SLICE_OWNERSHIP_H_
