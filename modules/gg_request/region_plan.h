#ifndef GG_REQUEST_REGION_PLAN_H_
#define GG_REQUEST_REGION_PLAN_H_

#include <map>
#include <string>

#include "gg_core/time.h"

namespace greengage {

/** Fraction of a region's requests that runs in each region, by region. */
using RegionShares = std::map<std::string, double>;

/** Demand and capacity of one region. Each may have any unit that is the same
    for all regions. */
struct RegionLoad {
  double demand = 0;
  double capacity = 0;
};

/** Computes where the requests of `origin` run so that all regions are equally
    loaded and as few requests as possible leave their region.

    A region keeps the requests that its capacity carries at the average load.
    The excess goes to the regions with spare capacity, in proportion to it.
    @return shares that add up to 1; empty if no region has capacity. */
RegionShares PlanRegionShares(const std::string& origin,
                              const std::map<std::string, RegionLoad>& regions);

/** When a region keeps more of its requests than equal load allows. */
struct LocalUtilizationOptions {
  /** Mean fraction of a region's slots that its own requests may use before
      any of them leaves it; 0: all regions are equally loaded. */
  double target_utilization = 0;
  /** Fraction by which the region's utilization may exceed the mean of all
      regions. In the model of docs/design/placement.md a larger excess gains
      round trips and loses more to queues when the region's demand peaks. */
  double max_excess_utilization = 0.3;
  /** Share of its requests that a region must keep at equal load for that rule
      to stay in force. A region that keeps more exports so little that higher
      utilization costs more than the latency between regions. */
  double min_kept_share = 0.7;
};

/** Returns the shares for `origin` after increasing the one that it keeps.

    Load pattern: a region with a third of the demand and a tenth of the targets
    exports two thirds of its requests, and each of them takes one round trip
    between regions more, also while the region has free slots.
    @param equal  the result of PlanRegionShares().
    @param mean_utilization  fraction of the slots of all regions in use.
    @return `equal` if the options do not apply. Otherwise the shares of all
            regions with capacity, also those that are zero, as ShareLimiter
            moves the share of a missing region at once. */
RegionShares KeepUpToUtilization(
    const std::string& origin, RegionShares equal,
    const std::map<std::string, RegionLoad>& regions, double mean_utilization,
    const LocalUtilizationOptions& options);

/** Moves shares towards a plan at a bounded rate.

    Load pattern: scale-ins and manifest changes alter the plan in one step.
    Callers' caches and the targets tolerate only a fraction of a region's
    requests moving at once. Traffic thread only. */
class ShareLimiter {
 public:
  struct Options {
    /** Total share that may move per second. About a quarter of the operators'
        limit of 0.15 within 2 s, so that other causes of movement stay within
        the limit as well. */
    double max_change_per_second = 0.02;
  };

  explicit ShareLimiter(Options options) : options_(options) {}

  /** Moves towards `plan` as far as the rate allows and returns the shares in
      force. The first plan is applied at once. A region that is missing from
      the plan because it lost its capacity gets no share any more; the rest of
      the plan takes over its share at once. An empty plan changes nothing. */
  const RegionShares& MoveTowards(const RegionShares& plan, TimePoint now);

 private:
  Options options_;
  RegionShares shares_;
  TimePoint updated_at_{};
};

}  // namespace greengage

#endif  // GG_REQUEST_REGION_PLAN_H_
