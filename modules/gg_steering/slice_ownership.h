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

/** Hosts that the platform lists, as last read from the store. */
struct HostList {
  std::set<std::string> addresses;
};

/** Slices that this daemon owns, and the decisions to claim and release them.

    A slice taken over from an earlier owner stays unused until every loan and
    every request that the earlier owner may have started has ended. A slice is
    released in two steps: the daemon stops using it, and once no request runs
    on it any more, it frees the slice by a compare-and-swap.

    Not thread-safe. */
class SliceOwnership {
 public:
  struct Options {
    HostId self;
    /** Time for which a host must have been missing from the platform's list
        before its slices may be taken. Longer than the delay of the list. */
    Duration gone_after = std::chrono::minutes(2);
    /** The same for a host that this daemon has never seen on the list. */
    Duration never_listed_after = std::chrono::minutes(10);
  };

  explicit SliceOwnership(Options options) : options_(std::move(options)) {}

  //==============================================================================
  /** Applies the table of a store revision; one that is not newer is ignored.
      @param quarantine  time for which slices of an earlier owner stay unused.
      @return true when the table was newer. */
  bool Apply(const SliceTable& table, uint64_t revision, Duration quarantine,
             TimePoint now);

  /** Applies the platform's list of hosts. */
  void ApplyHosts(const HostList& hosts, TimePoint now);

  //==============================================================================
  /** Returns the table to write in order to claim this daemon's share, or
      nothing when there is nothing to claim.
      @param slices  number of slices by the document.
      @param living  addresses of the living members. */
  std::optional<SliceTable> PlanClaim(int64_t slices,
                                      const std::set<std::string>& living,
                                      TimePoint now);

  /** Stops using the slices beyond the fair share that other daemons lack, or
      all slices when this daemon is leaving, and marks them for release. */
  void MarkSlicesForRelease(const std::set<std::string>& living,
                            bool is_leaving);

  /** Returns the table to write once no request runs on the slices marked for
      release, or nothing when no slice is marked. */
  std::optional<SliceTable> TableAfterRelease() const;

  //==============================================================================
  /** Returns the number of permits of the usable slices in a region. */
  int64_t UsablePermits(const std::string& region, int64_t capacity,
                        TimePoint now) const;

  /** Returns the usable slices as a fraction of all slices, 0 to 1. */
  double UsableFraction(TimePoint now) const;

  /** Stops the use of all slices until Resume(); called when the table may be
      out of date. */
  void Suspend() { is_suspended_ = true; }

  /** Allows the use of the slices again. */
  void Resume() { is_suspended_ = false; }

  /** Returns the number of slices that this daemon owns by the table. */
  int64_t owned() const { return OwnedSlices(table_, options_.self); }
  uint64_t revision() const { return revision_; }
  const SliceTable& table() const { return table_; }

 private:
  bool IsUsable(int64_t slice, TimePoint now) const;
  bool IsGone(const std::string& address, TimePoint now) const;

  Options options_;
  SliceTable table_;
  uint64_t revision_ = 0;
  /** Revision on which the last claim was planned. */
  uint64_t claim_base_revision_ = ~uint64_t{0};
  std::map<int64_t, TimePoint> usable_from_;  // own slices
  std::set<int64_t> releasing_slices_;        // marked for release
  std::set<std::string> ever_listed_hosts_;
  std::map<std::string, TimePoint> unlisted_since_;  // by owner's address
  bool has_host_list_ = false;
  bool is_suspended_ = false;
};

}  // namespace greengage

#endif  // GG_STEERING_SLICE_OWNERSHIP_H_
