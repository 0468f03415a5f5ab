#include "gg_request/admission.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "gg_fleet/fleet_config.h"

namespace greengage {
namespace {

/** Time without a request after which a route's objective doesn't bound the
    queues any more. */
constexpr Duration kRouteDemandLifetime = std::chrono::seconds(2);

/** Factor by which the bound on requests in flight exceeds this daemon's share
    while the targets are idle. In a large fleet a share is two or three
    requests, which arrive at once by chance. */
constexpr double kMaxIdleFactor = 8;

/** Smallest share of a daemon, relative to equal shares. A daemon that starts
    has no average yet. */
constexpr double kMinRelativeShare = 0.25;

/** Largest fraction of a caller's time that can have passed when it retries: a
    third, and the time of the first request. */
constexpr double kMaxEarlierFraction = 0.45;

/** Weight of a tenant's demand that is dropped: no request for nine time
    constants. */
constexpr double kForgottenWeight = 1e-4;

bool IsBusy(const AdmissionRequest& request) {
  return request.target_requests >= request.target_slots;
}

double PoolUtilization(const AdmissionRequest& request) {
  return request.pool.slots <= 0 ? 0
                                 : request.pool.requests / request.pool.slots;
}

std::pair<int, int> UrgencyOf(const AdmissionRequest& request) {
  return {request.tenant == nullptr ? 0 : request.tenant->priority,
          request.route->priority};
}

std::string_view TenantName(const AdmissionRequest& request) {
  return request.tenant == nullptr ? std::string_view()
                                   : std::string_view(request.tenant->name);
}

}  // namespace

double Admission::Decayed(const Average& average, Duration time_constant,
                          TimePoint now) const {
  return average.value *
         std::exp(-ToSeconds(now - average.at) / ToSeconds(time_constant));
}

void Admission::Count(Average* average, Duration time_constant,
                      TimePoint now) const {
  average->value = Decayed(*average, time_constant, now) + 1;
  average->at = now;
}

void Admission::Blend(Average* average, double value, TimePoint now) const {
  const double weight = std::exp(-ToSeconds(now - average->at) /
                                 ToSeconds(options_.share_time_constant));
  average->value = value + weight * (average->value - value);
  average->at = now;
}

Admission::Pool& Admission::PoolOf(std::string_view service,
                                   std::string_view region) {
  return pools_[absl::StrCat(std::string(service), "/", std::string(region))];
}

Duration Admission::ServiceTime(const AdmissionRequest& request) const {
  for (const ObjectKnowledge knowledge :
       {ObjectKnowledge::kHandled, ObjectKnowledge::kFirstChoice}) {
    const auto time = service_times_.Median(request.route->name, knowledge);
    if (time) return *time;
  }
  return FromSeconds(ToSeconds(request.route->latency_objective) *
                     options_.default_service_fraction);
}

Duration Admission::EarlierTime(const AdmissionRequest& request,
                                TimePoint now) {
  const auto found = time_limits_.find(request.route->name);
  if (!options_.counts_earlier_time || found == time_limits_.end() ||
      request.time_left <= Duration::zero()) {
    return {};
  }
  const Duration limit = found->second.Value(now);
  const Duration earlier = limit - request.time_used - request.time_left;
  // Callers wait for at most a third of their time. One with much less time
  // than others has a limit of its own.
  const bool is_retry =
      ToSeconds(earlier) <= kMaxEarlierFraction * ToSeconds(limit);
  return is_retry ? std::max<Duration>(earlier, {}) : Duration::zero();
}

Duration Admission::TimeForAnswer(const AdmissionRequest& request,
                                  TimePoint now) {
  return request.route->latency_objective - EarlierTime(request, now) -
         request.time_used - options_.caller_round_trip -
         (request.is_remote ? options_.remote_round_trip : Duration::zero());
}

double Admission::InTimeProbability(const AdmissionRequest& request,
                                    Duration limit) const {
  const Duration scaled = FromSeconds(ToSeconds(limit) / request.pace);
  const auto fraction = service_times_.FractionWithin(
      request.route->name, request.knowledge, scaled);
  return fraction ? *fraction : (scaled >= ServiceTime(request) ? 1 : 0);
}

void Admission::RecordArrival(const AdmissionRequest& request, TimePoint now) {
  Pool& pool = PoolOf(request.service, request.region);
  Blend(&pool.own_requests, request.pool.own_requests, now);
  Blend(&pool.requests, request.pool.requests, now);
  time_limits_[request.route->name].Record(
      request.time_used + request.time_left, now);
  Demand& demand = pool.demand[UrgencyOf(request)];
  Count(&demand.arrived, options_.admitted_time_constant, now);
  // Requests that will be late by themselves are served with what is left.
  if (InTimeProbability(request, TimeForAnswer(request, now)) >=
      options_.min_in_time_probability) {
    Count(&demand.rates[std::string(TenantName(request))],
          options_.demand_time_constant, now);
  }
  const Duration objective = request.route->latency_objective;
  const Duration wait =
      objective - options_.caller_round_trip - ServiceTime(request);
  // A route whose objective can't be met does not bound the others' queues.
  if (objective > Duration::zero() && wait > Duration::zero()) {
    pool.waits[request.route->name] = {wait, now};
  }
}

Duration Admission::MaxWait(Pool* pool, TimePoint now) const {
  Duration max_wait = Duration::max();
  std::erase_if(pool->waits, [&](const auto& entry) {
    return now - entry.second.second >= kRouteDemandLifetime;
  });
  for (const auto& [route, wait] : pool->waits) {
    max_wait = std::min(max_wait, wait.first);
  }
  return max_wait;
}

double Admission::MeanLoadLimit(const AdmissionRequest& request,
                                Duration max_wait, double mean_seconds) const {
  const double longest_queue =
      std::min(ToSeconds(max_wait) / mean_seconds - 1 / request.target_slots,
               options_.full_utilization - 1);
  return 1 + options_.mean_queue_fraction * std::max(longest_queue, 0.0);
}

double Admission::OwnFraction(const AdmissionRequest& request,
                              const Pool& pool) const {
  const double min_fraction =
      kMinRelativeShare / std::max(request.sender_count, 1);
  if (pool.requests.value <= 0) return min_fraction;
  return std::clamp(pool.own_requests.value / pool.requests.value, min_fraction,
                    1.0);
}

double Admission::TotalRate(const TenantRates& rates, TimePoint now) const {
  double total = 0;
  for (const auto& [tenant, rate] : rates) {
    total += Decayed(rate, options_.demand_time_constant, now);
  }
  return total / ToSeconds(options_.demand_time_constant);
}

double Admission::TenantFraction(const TenantRates& rates,
                                 std::string_view tenant, double capacity,
                                 TimePoint now) const {
  std::vector<double> demands;
  double own_demand = 0;
  for (const auto& [name, rate] : rates) {
    demands.push_back(Decayed(rate, options_.demand_time_constant, now) /
                      ToSeconds(options_.demand_time_constant));
    if (name == tenant) own_demand = demands.back();
  }
  if (own_demand <= 0) return 1;
  // Equal shares; what a tenant doesn't use is divided among the others.
  std::sort(demands.begin(), demands.end());
  double left = capacity;
  double share = 0;
  for (size_t i = 0; i < demands.size(); ++i) {
    share = left / static_cast<double>(demands.size() - i);
    if (share < demands[i]) break;
    left -= demands[i];
    share = own_demand;
  }
  return std::min(1.0, share / own_demand);
}

AdmissionReason Admission::CheckOrder(const AdmissionRequest& request,
                                      const Pool& pool, double capacity,
                                      TimePoint now) {
  const Urgency urgency = UrgencyOf(request);
  double admitted_fraction = 1;
  for (const auto& [other, demand] : pool.demand) {
    if (other >= urgency) break;
    capacity -= TotalRate(demand.rates, now);
    // A more urgent route with a shorter objective may be refused at targets
    // where this one could still be in time.
    const auto decayed = [&](const Average& average) {
      return Decayed(average, options_.admitted_time_constant, now);
    };
    if (decayed(demand.arrived) < 1) continue;
    admitted_fraction = std::min(
        admitted_fraction, decayed(demand.admitted) / decayed(demand.arrived));
  }
  if (capacity <= 0 || random_.NextDouble() >= admitted_fraction) {
    return AdmissionReason::kLowerPriority;
  }
  const double tenant_fraction = TenantFraction(
      pool.demand.at(urgency).rates, TenantName(request), capacity, now);
  return random_.NextDouble() < tenant_fraction ? AdmissionReason::kAdmitted
                                                : AdmissionReason::kTenantShare;
}

AdmissionDecision Admission::Decide(const AdmissionRequest& request,
                                    TimePoint now) {
  AdmissionDecision decision;
  const double ceiling =
      options_.full_utilization -
      (request.has_highest_priority ? 0 : options_.low_priority_reduction);
  if (request.target_requests / request.target_slots >= ceiling) {
    decision.reason = AdmissionReason::kTargetFull;
  }
  const Duration objective = request.route->latency_objective;
  if (!options_.is_predictive || objective <= Duration::zero()) return decision;

  Pool& pool = PoolOf(request.service, request.region);
  const Duration mean =
      service_times_.Mean(request.service).value_or(ServiceTime(request));
  const double mean_seconds = std::max(ToSeconds(mean), 1e-3) * request.pace;
  if (IsBusy(request)) {
    decision.wait = FromSeconds(
        mean_seconds * (request.target_requests - request.target_slots + 1) /
        request.target_slots);
  }
  const Duration max_wait = MaxWait(&pool, now);
  const double load_limit = MeanLoadLimit(request, max_wait, mean_seconds);
  const double own_limit = std::max(
      load_limit * request.pool.slots * OwnFraction(request, pool), 1.0);
  double demand = 0;
  for (auto& [urgency, of_urgency] : pool.demand) {
    std::erase_if(of_urgency.rates, [&](const auto& entry) {
      return Decayed(entry.second, options_.demand_time_constant, now) <
             kForgottenWeight;
    });
    demand += TotalRate(of_urgency.rates, now);
  }
  const double seconds_each = pool.response_seconds.value > 0
                                  ? pool.response_seconds.value
                                  : mean_seconds;
  const double demand_per_share = demand * seconds_each / own_limit;
  decision.demand_ratio =
      std::max(1.0, demand_per_share / options_.admitted_demand);
  if (!decision.is_admitted()) return decision;

  // Only while there is a queue: answers show when the targets get faster.
  const Duration travel =
      request.is_remote ? options_.remote_round_trip : Duration::zero();
  if (IsBusy(request) && request.time_left > Duration::zero() &&
      InTimeProbability(request, request.time_left - travel - decision.wait) <=
          0) {
    decision.reason = AdmissionReason::kNoTime;
    return decision;
  }
  const double utilization = PoolUtilization(request);
  if (utilization >= options_.busy_utilization) {
    const bool is_late =
        InTimeProbability(request,
                          TimeForAnswer(request, now) - decision.wait) <
            options_.min_in_time_probability ||
        decision.wait > max_wait;
    const double fullness =
        (utilization - options_.busy_utilization) / options_.busy_ramp;
    if (is_late && (demand_per_share > 1 || random_.NextDouble() < fullness)) {
      decision.reason = AdmissionReason::kLate;
      return decision;
    }
    decision.reason =
        CheckOrder(request, pool, demand / decision.demand_ratio, now);
    if (!decision.is_admitted()) return decision;
  }
  const double idle_fraction = std::max(0.0, 1 - utilization / load_limit);
  if (request.pool.own_requests >=
      own_limit * (1 + (kMaxIdleFactor - 1) * idle_fraction)) {
    decision.reason = AdmissionReason::kExcessDemand;
    return decision;
  }
  Count(&pool.demand[UrgencyOf(request)].admitted,
        options_.admitted_time_constant, now);
  return decision;
}

void Admission::RecordOutcome(const AdmissionOutcome& outcome, TimePoint now) {
  const double seconds = ToSeconds(outcome.response_time);
  Pool& pool = PoolOf(outcome.service, outcome.region);
  if (pool.response_seconds.value <= 0) pool.response_seconds.value = seconds;
  Blend(&pool.response_seconds, seconds, now);
  // An answer that had to wait shows only an upper bound of its service time.
  if (outcome.wait > Duration::zero()) return;
  const Duration travel =
      outcome.is_remote ? options_.remote_round_trip : Duration::zero();
  service_times_.Record(
      outcome.route, outcome.service, outcome.knowledge,
      FromSeconds(std::max(ToSeconds(outcome.response_time - travel), 0.0) /
                  std::max(outcome.pace, 1e-3)));
}

}  // namespace greengage
