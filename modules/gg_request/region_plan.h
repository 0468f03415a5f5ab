#ifndef GG_REQUEST_REGION_PLAN_H_
#define GG_REQUEST_REGION_PLAN_H_

#include <map>
#include <string>

#include "gg_core/time.h"

namespace greengage {

/** Share of a region's requests that runs in each region. */
using RegionShares = std::map<std::string, double>;

/** Demand and room of one region, in any unit that is the same for all. */
struct RegionLoad {
  double demand = 0;
  double capacity = 0;
};

/** Works out where the requests of `origin` run so that all regions end up
    equally loaded and as few requests as possible leave their region.

    A region keeps what its capacity carries at the average load; the excess
   goes to the regions with room, in proportion to it.
    @return shares that add up to 1; empty when no region has capacity. */
RegionShares PlanRegionShares(const std::string& origin,
                              const std::map<std::string, RegionLoad>& regions);

/** Moves shares towards a plan at a bounded rate.

    Load pattern: scale-ins and manifest changes alter the plan in one step;
    callers' caches and targets bear only a part of a region's requests moving
   at once. Traffic thread only. */
class ShareLimiter {
 public:
  struct Options {
    /** Sum of share that may move a second. A quarter of the operators' cap of
        0.15 for 2 s, so that other causes of movement fit beside it. */
    double max_change_per_second = 0.02;
  };

  explicit ShareLimiter(Options options) : options_(options) {}

  /** Moves towards `plan` as far as allowed and returns the shares in force. A
      region that is not in the plan, having lost its capacity, is left at once.
      The first plan is taken as it is. */
  const RegionShares& MoveTowards(const RegionShares& plan, TimePoint now);

 private:
  Options options_;
  RegionShares shares_;
  TimePoint updated_at_{};
};

}  // namespace greengage

#endif  // GG_REQUEST_REGION_PLAN_H_
