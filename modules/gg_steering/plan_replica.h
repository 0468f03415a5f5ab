#ifndef GG_STEERING_PLAN_REPLICA_H_
#define GG_STEERING_PLAN_REPLICA_H_

#include <cstdint>
#include <optional>

#include "gg_core/time.h"
#include "gg_steering/ramp_plan.h"

namespace greengage {

/** One daemon's copy of the ramp plan, and the decision when the next step is
    due. Not thread-safe. */
class PlanReplica {
 public:
  /** Applies the plan of a store revision; one that is not newer is ignored.
      @return true when the plan was newer. */
  bool Apply(RampPlan plan, uint64_t revision, TimePoint now);

  /** Returns the plan to write now, or nothing when no step is due. */
  std::optional<RampPlan> NextPlanToWrite(const Document& document,
                                          TimePoint now) const;

  const RampPlan& plan() const { return plan_; }
  uint64_t revision() const { return revision_; }

 private:
  RampPlan plan_;
  uint64_t revision_ = 0;
  PositionFirstSeenTimes first_seen_;
};

}  // namespace greengage

#endif  // GG_STEERING_PLAN_REPLICA_H_
