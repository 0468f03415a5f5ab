#include "gg_steering/ramp_plan.h"

#include <nlohmann/json.hpp>

#include "gg_core/errors.h"
#include "gg_steering/shift_limiter.h"

namespace greengage {
namespace {

ServicePosition NextPosition(const ServicePosition& position,
                             const ServiceSpec& service) {
  ServicePosition next{.step = position.step + 1};
  const double limit = kPlanStepCapFraction * service.shift.cap;
  for (const auto& [home, desired] : service.split) {
    const auto current = position.split.find(home);
    next.split[home] = current == position.split.end()
                           ? desired
                           : MoveTowards(current->second, desired, limit);
  }
  return next;
}

}  // namespace

Duration PlanStepInterval(const ShiftSpec& shift) {
  return shift.window / kPlanStepsPerWindow;
}

RampPlan NextPlan(const RampPlan& plan, const Document& document,
                  const PositionFirstSeenTimes& first_seen, TimePoint now) {
  RampPlan next;
  for (const ServiceSpec& service : document.services) {
    const auto current = plan.services.find(service.name);
    if (current == plan.services.end()) {
      next.services[service.name] = {.step = 1, .split = service.split};
      continue;
    }
    const auto seen = first_seen.find(service.name);
    const bool is_due = seen != first_seen.end() &&
                        now - seen->second >= PlanStepInterval(service.shift);
    const bool is_complete = current->second.split == service.split;
    next.services[service.name] = is_due && !is_complete
                                      ? NextPosition(current->second, service)
                                      : current->second;
  }
  return next;
}

std::string RampPlanToJson(const RampPlan& plan) {
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [name, position] : plan.services) {
    json[name] = {{"step", position.step}, {"split", position.split}};
  }
  return json.dump();
}

absl::StatusOr<RampPlan> RampPlanFromJson(const std::string& text) {
  RampPlan plan;
  try {
    const nlohmann::json parsed = nlohmann::json::parse(text);
    for (const auto& [name, value] : parsed.items()) {
      if (!value.at("step").is_number_unsigned()) {
        return StepError(absl::StatusCode::kDataLoss, Step::kStoreCall, "plan",
                         "a step is no whole number");
      }
      ServicePosition& position = plan.services[name];
      position.step = value.at("step").get<uint64_t>();
      position.split =
          value.at("split").get<std::map<std::string, RegionSplit>>();
    }
  } catch (const nlohmann::json::exception& error) {
    return StepError(absl::StatusCode::kDataLoss, Step::kStoreCall, "plan",
                     error.what());
  }
  return plan;
}

}  // namespace greengage
