#include "gg_request/target_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace greengage {
namespace {

constexpr size_t kUrgent = static_cast<size_t>(OfferUrgency::kUrgent);
constexpr size_t kOther = static_cast<size_t>(OfferUrgency::kOther);
constexpr size_t kPassedOn = static_cast<size_t>(OfferUrgency::kPassedOn);

/** Limit of the credit that offers gain while the window is full. */
constexpr double kMaxCredit = 1.5;

/** Longest time until the next admission that is expected. */
constexpr Duration kMaxAdmissionDelay = std::chrono::seconds(10);

/** How long the end of a limit is reported. Longer than the interval of
    heartbeats between regions of a large fleet. */
constexpr Duration kEndReportTime = std::chrono::seconds(5);

/** Demand below which a daemon has no news of a target, per second. */
constexpr double kMinReportedDemand = 0.02;

}  // namespace

TargetRateLimiter::TargetRateLimiter(Options options)
    : options_(options),
      random_(options.seed),
      load_({.window = options.window,
             .demand_time_constant = options.demand_time_constant,
             .report_freshness = options.report_freshness,
             .report_lifetime = options.report_lifetime}) {}

TargetRateLimiter::Target& TargetRateLimiter::FindOrAdd(uint64_t id,
                                                        TimePoint now) {
  const auto [found, is_new] = targets_.try_emplace(id);
  if (is_new) {
    // A random start, as the daemons' admissions must not coincide.
    for (double& credit : found->second.credit) credit = random_.NextDouble();
  }
  found->second.used_at = now;
  return found->second;
}

std::optional<double> TargetRateLimiter::RecordResponse(
    uint64_t id, std::optional<double> limit, TimePoint now) {
  Target& target = FindOrAdd(id, now);
  const std::optional<double> previous = target.limit;
  if (!limit && !previous) return previous;  // no news for other daemons
  target.limit = limit;
  target.limit_known_at = now;
  return previous;
}

void TargetRateLimiter::RecordPeerReports(
    const std::string& host, const std::map<uint64_t, RateLimitReport>& reports,
    TimePoint now) {
  std::map<uint64_t, SubjectLoad> loads;
  for (const auto& [id, report] : reports) {
    loads[id] = {.demand = {report.urgent_demand, report.other_demand,
                            report.passed_on_demand},
                 .sends = static_cast<double>(report.recent_sends)};
    const TimePoint known_at = now - report.age;
    Target& target = FindOrAdd(id, now);
    if (target.limit_known_at && *target.limit_known_at >= known_at) continue;
    target.limit = report.limit;
    target.limit_known_at = known_at;
  }
  load_.RecordPeerReports(host, std::move(loads), now);
}

void TargetRateLimiter::Tick(TimePoint now) {
  load_.Tick(now);
  std::erase_if(targets_, [&](const auto& entry) {
    const bool is_unused =
        now - entry.second.used_at >= options_.target_lifetime;
    if (is_unused) load_.Forget(entry.first);
    return is_unused;
  });
}

double TargetRateLimiter::EnforcedLimit(const Target& target,
                                        const FleetLoad::Totals& totals) const {
  return std::max(target.limit.value_or(0), options_.min_limit) *
         (1 - options_.staleness_reserve * totals.staleness);
}

double TargetRateLimiter::WindowBound(const Target& target,
                                      const FleetLoad::Totals& totals,
                                      OfferUrgency urgency) const {
  const double allowed =
      EnforcedLimit(target, totals) * ToSeconds(options_.window);
  const double reserved =
      options_.reserved_fraction * static_cast<double>(urgency);
  return allowed * (1 + options_.window_tolerance) * (1 - reserved) +
         options_.window_allowance;
}

double TargetRateLimiter::AdmittedFraction(const Target& target,
                                           const FleetLoad::Totals& totals,
                                           OfferUrgency urgency) const {
  const double limit = EnforcedLimit(target, totals) * options_.pace;
  const double urgent = totals.load.demand[kUrgent];
  const double other = totals.load.demand[kOther];
  const double for_other = std::min(
      other, std::max(limit - urgent, limit * options_.other_fraction));
  const double for_urgent = std::min(urgent, limit - for_other);
  const auto fraction = [](double admitted, double demand) {
    return demand <= admitted ? 1 : admitted / demand;
  };
  switch (urgency) {
    case OfferUrgency::kUrgent:
      return fraction(for_urgent, urgent);
    case OfferUrgency::kOther:
      return fraction(for_other, other);
    case OfferUrgency::kPassedOn:
      break;
  }
  const double burst =
      limit * ToSeconds(options_.window) * options_.burst_tolerance +
      options_.burst_allowance;
  return std::min(
      fraction(limit - for_urgent - for_other, totals.load.demand[kPassedOn]),
      burst / sender_count_);
}

bool TargetRateLimiter::TryAdmit(uint64_t id, OfferUrgency urgency,
                                 TimePoint now) {
  Target& target = FindOrAdd(id, now);
  const size_t index = static_cast<size_t>(urgency);
  load_.RecordDemand(id, index, now);
  if (!target.limit) return true;
  const FleetLoad::Totals totals = load_.FleetTotals(id, now);
  double& credit = target.credit[index];
  credit =
      std::min(credit + AdmittedFraction(target, totals, urgency), kMaxCredit);
  const double bound = WindowBound(target, totals, urgency);
  if (credit < 1 || totals.load.sends + 1 > bound) return false;
  credit -= 1;
  return true;
}

void TargetRateLimiter::RecordSend(uint64_t id, TimePoint now) {
  FindOrAdd(id, now);
  load_.RecordSend(id, now);
}

Duration TargetRateLimiter::TimeUntilAdmission(uint64_t id,
                                               OfferUrgency urgency,
                                               TimePoint now) {
  Target& target = FindOrAdd(id, now);
  if (!target.limit) return Duration::zero();
  const FleetLoad::Totals totals = load_.FleetTotals(id, now);
  const size_t index = static_cast<size_t>(urgency);
  const double rate = load_.Own(id, now).demand[index] *
                      AdmittedFraction(target, totals, urgency);
  const double missing_credit = std::max(1 - target.credit[index], 0.0);
  // In a full window, room appears at about the rate of the limit.
  const double excess_sends = std::max(
      totals.load.sends + 1 - WindowBound(target, totals, urgency), 0.0);
  const double seconds =
      std::max(missing_credit / std::max(rate, kMinReportedDemand),
               excess_sends / EnforcedLimit(target, totals));
  return FromSeconds(std::min(seconds, ToSeconds(kMaxAdmissionDelay)));
}

std::optional<double> TargetRateLimiter::Limit(uint64_t id) const {
  const auto found = targets_.find(id);
  return found == targets_.end() ? std::nullopt : found->second.limit;
}

std::map<uint64_t, RateLimitReport> TargetRateLimiter::Reports(TimePoint now) {
  std::map<uint64_t, RateLimitReport> reports;
  for (const auto& [id, target] : targets_) {
    if (!target.limit_known_at) continue;
    const SubjectLoad own = load_.Own(id, now);
    const RateLimitReport report{.limit = target.limit,
                                 .age = now - *target.limit_known_at,
                                 .urgent_demand = own.demand[kUrgent],
                                 .other_demand = own.demand[kOther],
                                 .passed_on_demand = own.demand[kPassedOn],
                                 .recent_sends = static_cast<int>(own.sends)};
    const bool has_news =
        report.urgent_demand + report.other_demand + report.passed_on_demand >=
            kMinReportedDemand ||
        report.recent_sends > 0;
    if (target.limit ? has_news : report.age < kEndReportTime) {
      reports[id] = report;
    }
  }
  return reports;
}

double TargetRateLimiter::Utilization(uint64_t id, TimePoint now) {
  const auto found = targets_.find(id);
  if (found == targets_.end() || !found->second.limit) return 0;
  const FleetLoad::Totals totals = load_.FleetTotals(id, now);
  return totals.load.sends /
         WindowBound(found->second, totals, OfferUrgency::kUrgent);
}

double TargetRateLimiter::FleetSends(uint64_t id, TimePoint now) {
  FindOrAdd(id, now);
  return load_.FleetTotals(id, now).load.sends;
}

}  // namespace greengage
