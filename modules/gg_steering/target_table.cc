#include "gg_steering/target_table.h"

#include <algorithm>
#include <cassert>

namespace greengage {
namespace {

/** Multiple of the typical latency from which a target counts as slow. Smaller
    differences are mostly chance and would only disturb the balance. */
constexpr double kSlowFrom = 2;

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
  const double typical = TypicalLatency(usable);
  size_t best = usable[0];
  double best_cost = 0;
  uint64_t ties = 0;
  for (const size_t index : usable) {
    const double cost = Cost(rows_[index], typical, now);
    if (ties > 0 && cost > best_cost) continue;
    if (ties == 0 || cost < best_cost) ties = 0;
    // Each of the rows with the least cost is as likely as the others.
    if (random->Below(++ties) == 0) best = index;
    best_cost = cost;
  }
  ++rows_[best].in_flight;
  return best;
}

TargetChange TargetTable::Finish(size_t row, AttemptResult result,
                                 Duration latency, TimePoint now) {
  TargetState& state = rows_[row];
  // Finish() was called more often than Choose(): report each attempt once.
  assert(state.in_flight > 0);
  --state.in_flight;
  // Shedding says that the target is full just now, not that it is unwell.
  const bool says_nothing =
      result == AttemptResult::kShed || result == AttemptResult::kCancelled;
  if (says_nothing) return TargetChange::kNone;
  if (result == AttemptResult::kFailed) {
    if (++state.consecutive_failures < options_.failures_to_eject) {
      return TargetChange::kNone;
    }
    const bool was_ejected = state.ejected_until > now;
    state.ejected_until = now + options_.ejection;
    return was_ejected ? TargetChange::kNone : TargetChange::kEjected;
  }
  const double seconds = ToSeconds(latency);
  state.answered_at = now;
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
                       return !state.removed && !state.spec.is_leaving &&
                              state.ejected_until <= now;
                     });
}

bool TargetTable::IsUsable(const TargetState& state, TimePoint now) const {
  return !state.removed && !state.spec.is_leaving &&
         state.ejected_until <= now && state.in_flight < state.spec.slots;
}

double TargetTable::TypicalLatency(const std::vector<size_t>& usable) const {
  std::vector<double> known;
  for (const size_t index : usable) {
    const double latency = rows_[index].latency_seconds;
    if (latency > 0) known.push_back(latency);
  }
  if (known.empty()) return 0;
  const auto median =
      known.begin() + static_cast<ptrdiff_t>((known.size() - 1) / 2);
  std::nth_element(known.begin(), median, known.end());
  return *median;
}

double TargetTable::Cost(const TargetState& state, double typical_latency,
                         TimePoint now) const {
  const auto load = static_cast<double>(state.in_flight + 1) /
                    static_cast<double>(state.spec.slots);
  const bool is_fresh = now - state.answered_at <= options_.latency_lifetime;
  const double slowness = is_fresh && typical_latency > 0
                              ? state.latency_seconds / typical_latency
                              : 1;
  const double slow = slowness >= kSlowFrom ? slowness : 1;
  return load * slow / ColdFactor(state, now);
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
