#include "gg_steering/target_table.h"

#include <algorithm>
#include <cassert>

namespace greengage {
namespace {

/** Latency assumed of a target that has not answered yet, in seconds. */
constexpr double kUnknownLatencySeconds = 0.01;

/** Share of its full weight that a target starts with. */
constexpr double kColdestFactor = 0.1;

}  // namespace

void TargetTable::Apply(const Document& document, TimePoint now) {
  for (TargetState& state : rows_) state.removed = true;
  by_place_.clear();
  for (const ServiceSpec& service : document.services) {
    cold_start_[service.name] = service.cold_start;
    for (const TargetSpec& target : service.targets) {
      const auto [entry, is_new] =
          row_by_address_.emplace(target.address, rows_.size());
      if (is_new) {
        rows_.emplace_back();
        // Targets of the first document are taken to be warm: the daemon is
        // new, not they.
        rows_.back().known_since =
            has_document_ ? now : now - service.cold_start;
      }
      TargetState& state = rows_[entry->second];
      state.spec = target;
      state.service = service.name;
      state.region = document.RegionOfZone(target.zone);
      state.removed = false;
      by_place_[state.service][state.region].push_back(entry->second);
    }
  }
  has_document_ = true;
}

std::optional<size_t> TargetTable::Choose(const TargetQuery& query,
                                          Random* random, TimePoint now) {
  const auto service = by_place_.find(query.service);
  if (service == by_place_.end()) return std::nullopt;
  const auto place = service->second.find(query.region);
  if (place == service->second.end()) return std::nullopt;
  std::vector<size_t> usable;
  for (const size_t index : place->second) {
    const bool is_excluded =
        std::find(query.excluded.begin(), query.excluded.end(), index) !=
        query.excluded.end();
    if (!is_excluded && IsUsable(rows_[index], now)) usable.push_back(index);
  }
  if (usable.empty()) return std::nullopt;
  const size_t a = usable[random->Below(usable.size())];
  const size_t b = usable[random->Below(usable.size())];
  const size_t best = Cost(rows_[a], now) <= Cost(rows_[b], now) ? a : b;
  ++rows_[best].in_flight;
  return best;
}

TargetChange TargetTable::Finish(size_t row, AttemptResult result,
                                 Duration latency, TimePoint now) {
  TargetState& state = rows_[row];
  // Finish() was called more often than Choose(): report each attempt once.
  assert(state.in_flight > 0);
  --state.in_flight;
  if (result == AttemptResult::kShed) {
    state.shed_until = now + options_.shed_pause;
    return TargetChange::kNone;
  }
  if (result == AttemptResult::kCancelled) return TargetChange::kNone;
  if (result == AttemptResult::kFailed) {
    if (++state.consecutive_failures < options_.failures_to_eject) {
      return TargetChange::kNone;
    }
    const bool was_ejected = state.ejected_until > now;
    state.ejected_until = now + options_.ejection;
    return was_ejected ? TargetChange::kNone : TargetChange::kEjected;
  }
  const double seconds = ToSeconds(latency);
  state.latency_seconds =
      state.latency_seconds == 0
          ? seconds
          : state.latency_seconds +
                options_.latency_weight * (seconds - state.latency_seconds);
  const bool was_failing =
      state.consecutive_failures >= options_.failures_to_eject;
  state.consecutive_failures = 0;
  return was_failing ? TargetChange::kRestored : TargetChange::kNone;
}

bool TargetTable::IsRegionUsable(const std::string& service,
                                 const std::string& region,
                                 TimePoint now) const {
  const auto found = by_place_.find(service);
  if (found == by_place_.end()) return false;
  const auto place = found->second.find(region);
  if (place == found->second.end()) return false;
  return std::any_of(place->second.begin(), place->second.end(),
                     [&](size_t index) {
                       const TargetState& state = rows_[index];
                       return !state.removed && !state.spec.leaving &&
                              state.ejected_until <= now;
                     });
}

bool TargetTable::IsUsable(const TargetState& state, TimePoint now) const {
  return !state.removed && !state.spec.leaving && state.ejected_until <= now &&
         state.shed_until <= now && state.in_flight < state.spec.slots;
}

double TargetTable::Cost(const TargetState& state, TimePoint now) const {
  const double latency = state.latency_seconds == 0 ? kUnknownLatencySeconds
                                                    : state.latency_seconds;
  const auto load = static_cast<double>(state.in_flight + 1) /
                    static_cast<double>(state.spec.slots);
  return latency * load / ColdFactor(state, now);
}

double TargetTable::ColdFactor(const TargetState& state, TimePoint now) const {
  const auto cold_start = cold_start_.find(state.service);
  if (cold_start == cold_start_.end() ||
      cold_start->second <= Duration::zero()) {
    return 1;
  }
  const double age = ToSeconds(now - state.known_since);
  return std::clamp(age / ToSeconds(cold_start->second), kColdestFactor, 1.0);
}

}  // namespace greengage
