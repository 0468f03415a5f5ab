#ifndef GG_STEERING_PLAN_REPLICA_H_
#define GG_STEERING_PLAN_REPLICA_H_

#include <cstdint>
#include <optional>

#include "gg_core/time.h"
#include "gg_steering/ramp_plan.h"

namespace greengage {

/** One daemon's copy of the ramp plan, and when it may write the next step. One
    thread at a time. */
class PlanReplica {
 public:
  /** Takes in the plan at a store revision; an older one is ignored.
      @return true when the plan is newer. */
  bool Apply(RampPlan plan, uint64_t revision, TimePoint now);

  /** Returns the plan to write now, if any. */
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
