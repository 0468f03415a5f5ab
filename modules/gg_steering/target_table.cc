#include "gg_steering/target_table.h"

#include <algorithm>
#include <cassert>

namespace greengage {
namespace {

/** Ratio to the median latency at which a target counts as slow. Smaller
    differences are mostly noise and would disturb the balance for no gain. */
constexpr double kSlowLatencyRatio = 2;

/** Fraction of its full weight that a new target starts with. */
constexpr double kMinWarmUpFactor = 0.1;

}  // namespace

void TargetTable::Apply(const Document& document, TimePoint now) {
  for (TargetState& state : rows_) state.is_removed = true;
  rows_by_region_.clear();
  for (const ServiceSpec& service : document.services) {
    cold_start_by_service_[service.name] = service.cold_start;
    for (const TargetSpec& target : service.targets) {
      const auto [entry, is_new] =
          row_by_address_.emplace(target.address, rows_.size());
      if (is_new) {
        rows_.emplace_back();
        // Targets of the first document count as warm, because only the daemon
        // is new then.
        rows_.back().first_listed_at =
            has_document_ ? now : now - service.cold_start;
      }
      TargetState& state = rows_[entry->second];
      state.spec = target;
      state.service = service.name;
      state.region = document.RegionOfZone(target.zone);
      state.is_removed = false;
      rows_by_region_[state.service][state.region].push_back(entry->second);
    }
  }
  has_document_ = true;
}

std::optional<size_t> TargetTable::Choose(const TargetQuery& query,
                                          Random* random, TimePoint now) {
  const auto service = rows_by_region_.find(query.service);
  if (service == rows_by_region_.end()) return std::nullopt;
  const auto region_rows = service->second.find(query.region);
  if (region_rows == service->second.end()) return std::nullopt;
  std::vector<size_t> usable;
  for (const size_t index : region_rows->second) {
    const bool is_excluded =
        std::find(query.excluded_rows.begin(), query.excluded_rows.end(),
                  index) != query.excluded_rows.end();
    if (!is_excluded && IsUsable(rows_[index], now)) usable.push_back(index);
  }
  if (usable.empty()) return std::nullopt;
  const double typical_latency = TypicalLatency(usable);
  size_t best = usable[0];
  double best_cost = 0;
  uint64_t ties = 0;
  for (const size_t index : usable) {
    const double cost = SelectionCost(rows_[index], typical_latency, now);
    if (ties > 0 && cost > best_cost) continue;
    if (ties == 0 || cost < best_cost) ties = 0;
    // Reservoir sampling: each row with the lowest cost is equally likely.
    if (random->NextBelow(++ties) == 0) best = index;
    best_cost = cost;
  }
  ++rows_[best].in_flight;
  return best;
}

TargetChange TargetTable::Finish(size_t row, AttemptResult result,
                                 Duration latency, TimePoint now) {
  TargetState& state = rows_[row];
  // Fails when Finish() is called twice for the same attempt.
  assert(state.in_flight > 0);
  --state.in_flight;
  // A target that sheds load is full at the moment, which is no failure.
  const bool is_neutral =
      result == AttemptResult::kShed || result == AttemptResult::kCancelled;
  if (is_neutral) return TargetChange::kNone;
  if (result == AttemptResult::kFailed) {
    if (++state.consecutive_failures < options_.failures_to_eject) {
      return TargetChange::kNone;
    }
    const bool was_ejected = state.ejected_until > now;
    state.ejected_until = now + options_.ejection_time;
    return was_ejected ? TargetChange::kNone : TargetChange::kEjected;
  }
  const double seconds = ToSeconds(latency);
  state.last_answer_at = now;
  state.latency_seconds =
      state.latency_seconds == 0
          ? seconds
          : state.latency_seconds + options_.latency_smoothing_factor *
                                        (seconds - state.latency_seconds);
  const bool was_failing =
      state.consecutive_failures >= options_.failures_to_eject;
  state.consecutive_failures = 0;
  return was_failing ? TargetChange::kRestored : TargetChange::kNone;
}

bool TargetTable::IsRegionUsable(const std::string& service,
                                 const std::string& region,
                                 TimePoint now) const {
  const auto found = rows_by_region_.find(service);
  if (found == rows_by_region_.end()) return false;
  const auto region_rows = found->second.find(region);
  if (region_rows == found->second.end()) return false;
  return std::any_of(region_rows->second.begin(), region_rows->second.end(),
                     [&](size_t index) {
                       const TargetState& state = rows_[index];
                       return !state.is_removed && !state.spec.is_leaving &&
                              state.ejected_until <= now;
                     });
}

bool TargetTable::IsUsable(const TargetState& state, TimePoint now) const {
  return !state.is_removed && !state.spec.is_leaving &&
         state.ejected_until <= now && state.in_flight < state.spec.slots;
}

double TargetTable::TypicalLatency(const std::vector<size_t>& usable) const {
  std::vector<double> latencies;
  for (const size_t index : usable) {
    const double latency = rows_[index].latency_seconds;
    if (latency > 0) latencies.push_back(latency);
  }
  if (latencies.empty()) return 0;
  const auto median =
      latencies.begin() + static_cast<ptrdiff_t>((latencies.size() - 1) / 2);
  std::nth_element(latencies.begin(), median, latencies.end());
  return *median;
}

double TargetTable::SelectionCost(const TargetState& state,
                                  double typical_latency, TimePoint now) const {
  const auto load = static_cast<double>(state.in_flight + 1) /
                    static_cast<double>(state.spec.slots);
  const bool is_fresh = now - state.last_answer_at <= options_.latency_lifetime;
  const double slowness = is_fresh && typical_latency > 0
                              ? state.latency_seconds / typical_latency
                              : 1;
  const double slowness_factor = slowness >= kSlowLatencyRatio ? slowness : 1;
  return load * slowness_factor / WarmUpFactor(state, now);
}

double TargetTable::WarmUpFactor(const TargetState& state,
                                 TimePoint now) const {
  const auto cold_start = cold_start_by_service_.find(state.service);
  if (cold_start == cold_start_by_service_.end() ||
      cold_start->second <= Duration::zero()) {
    return 1;
  }
  const double age = ToSeconds(now - state.first_listed_at);
  return std::clamp(age / ToSeconds(cold_start->second), kMinWarmUpFactor, 1.0);
}

}  // namespace greengage
