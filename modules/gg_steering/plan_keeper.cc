#include "gg_steering/plan_keeper.h"

#include <utility>

namespace greengage {

bool PlanKeeper::Apply(RampPlan plan, uint64_t revision, TimePoint now) {
  if (revision <= revision_) return false;
  for (const auto& [name, position] : plan.services) {
    const auto known = plan_.services.find(name);
    const bool is_same =
        known != plan_.services.end() && known->second == position;
    if (!is_same) sightings_[name] = now;
  }
  plan_ = std::move(plan);
  revision_ = revision;
  return true;
}

std::optional<RampPlan> PlanKeeper::PlanNext(const Document& document,
                                             TimePoint now) const {
  RampPlan next = NextPlan(plan_, document, sightings_, now);
  if (next == plan_) return std::nullopt;
  return next;
}

}  // namespace greengage
