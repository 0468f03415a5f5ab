#ifndef GG_STEERING_RAMP_PLAN_H_
#define GG_STEERING_RAMP_PLAN_H_

#include <cstdint>
#include <map>
#include <string>

#include "absl/status/statusor.h"
#include "gg_core/time.h"
#include "gg_document/document.h"

namespace greengage {

/** Position of one service on its way to the split of the document. */
struct ServicePosition {
  uint64_t step = 0;
  std::map<std::string, RegionSplit> split;  // by home region

  friend bool operator==(const ServicePosition&,
                         const ServicePosition&) = default;
};

/** Positions of all services, kept as one value in the platform's store.

    A fleet that restarts as a whole goes on from here. Each change is written
   by compare-and-swap against the value it follows and moves a service by at
   most one step; a writer that was paused loses the swap or follows a position
   that stood for longer than it thinks, and both keep the cap. */
struct RampPlan {
  std::map<std::string, ServicePosition> services;

  friend bool operator==(const RampPlan&, const RampPlan&) = default;
};

/** Number of plan steps a window is divided into. */
inline constexpr int kPlanStepsPerWindow = 4;

/** Fraction of the cap that one plan step moves. */
inline constexpr double kPlanStepCapFraction = 0.125;

/** Returns the time for which a position must have been seen before the next
    step may be written. */
Duration PlanStepInterval(const ShiftSpec& shift);

/** When the current position of each service was first seen by this daemon. */
using PositionFirstSeenTimes = std::map<std::string, TimePoint>;

/** Returns the plan that follows `plan` under `document`: services that are new
    start at their split, services that are gone are dropped, and a service
   whose position was seen for PlanStepInterval() moves one step. Returns `plan`
    itself when nothing is due. */
RampPlan NextPlan(const RampPlan& plan, const Document& document,
                  const PositionFirstSeenTimes& first_seen, TimePoint now);

/** Returns the plan as the JSON text that stands in the store. */
std::string RampPlanToJson(const RampPlan& plan);

/** Parses the text; kDataLoss when it cannot be read. */
absl::StatusOr<RampPlan> RampPlanFromJson(const std::string& text);

}  // namespace greengage

#endif  // GG_STEERING_RAMP_PLAN_H_
