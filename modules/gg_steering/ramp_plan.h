#ifndef GG_STEERING_RAMP_PLAN_H_
#define GG_STEERING_RAMP_PLAN_H_

#include <cstdint>
#include <map>
#include <string>

#include "absl/status/statusor.h"
#include "gg_core/time.h"
#include "gg_document/document.h"

namespace greengage {

/** Split of one service on the ramp towards the split in the document. */
struct ServicePosition {
  uint64_t step = 0;                         // 1 for the first position
  std::map<std::string, RegionSplit> split;  // by home region

  friend bool operator==(const ServicePosition&,
                         const ServicePosition&) = default;
};

/** Ramp positions of all services, kept as one value in the platform's store.

    When the whole fleet restarts, it continues from this plan. Each change is
    written by a compare-and-swap against the value on which it is based, and it
    moves a service by at most one step. A writer that was paused either loses
    the swap, or it moves a position that has been in the store for longer than
    the writer knows; the cap holds in both cases. */
struct RampPlan {
  std::map<std::string, ServicePosition> services;

  friend bool operator==(const RampPlan&, const RampPlan&) = default;
};

/** Number of plan steps in one window of the shift cap. */
inline constexpr int kPlanStepsPerWindow = 4;

/** Fraction of the shift cap that one plan step moves at most. */
inline constexpr double kPlanStepCapFraction = 0.125;

/** Returns the time that must pass after a position was first seen before the
    next step may be written. */
Duration PlanStepInterval(const ShiftSpec& shift);

/** Time at which this daemon first saw the current position, by service. */
using PositionFirstSeenTimes = std::map<std::string, TimePoint>;

/** Returns the plan that follows `plan` under `document`. A new service starts
    at the document's split, a service that the document lacks is dropped, and a
    service whose position was first seen at least PlanStepInterval() ago moves
    one step. Returns a copy of `plan` when nothing is due. */
RampPlan NextPlan(const RampPlan& plan, const Document& document,
                  const PositionFirstSeenTimes& first_seen, TimePoint now);

/** Returns the JSON text of the plan, as kept in the store. */
std::string RampPlanToJson(const RampPlan& plan);

/** Parses the JSON text of a plan; kDataLoss when it is malformed. */
absl::StatusOr<RampPlan> RampPlanFromJson(const std::string& text);

}  // namespace greengage

#endif  // GG_STEERING_RAMP_PLAN_H_
