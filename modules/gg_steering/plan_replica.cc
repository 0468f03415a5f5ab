#include "gg_steering/plan_replica.h"

#include <utility>

namespace greengage {

bool PlanReplica::Apply(RampPlan plan, uint64_t revision, TimePoint now) {
  if (revision <= revision_) return false;
  for (const auto& [name, position] : plan.services) {
    const auto known = plan_.services.find(name);
    const bool is_same =
        known != plan_.services.end() && known->second == position;
    if (!is_same) first_seen_[name] = now;
  }
  plan_ = std::move(plan);
  revision_ = revision;
  return true;
}

std::optional<RampPlan> PlanReplica::NextPlanToWrite(const Document& document,
                                                     TimePoint now) const {
  RampPlan next = NextPlan(plan_, document, first_seen_, now);
  if (next == plan_) return std::nullopt;
  return next;
}

}  // namespace greengage
