#include "gg_request/target_rate_limiter.h"

#include <algorithm>
#include <cmath>

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
    const std::string& host, std::map<uint64_t, RateLimitReport> reports,
    TimePoint now) {
  for (const auto& [id, report] : reports) {
    const TimePoint known_at = now - report.age;
    Target& target = FindOrAdd(id, now);
    if (target.limit_known_at && *target.limit_known_at >= known_at) continue;
    target.limit = report.limit;
    target.limit_known_at = known_at;
  }
  PeerReports& peer = peers_[host];
  AddToSums(peer, -1);
  peer = {.targets = std::move(reports), .received_at = now, .is_fresh = true};
  AddToSums(peer, 1);
  hearing_ = {};
}

void TargetRateLimiter::Load::Add(const RateLimitReport& report, int sign) {
  demand[kUrgent] += sign * report.urgent_demand;
  demand[kOther] += sign * report.other_demand;
  demand[kPassedOn] += sign * report.passed_on_demand;
  sends += sign * report.recent_sends;
}

void TargetRateLimiter::AddToSums(const PeerReports& peer, int sign) {
  for (const auto& [id, report] : peer.targets) {
    const auto found = targets_.find(id);
    if (found == targets_.end()) continue;
    Target& target = found->second;
    (peer.is_fresh ? target.fresh_reports : target.outdated_reports)
        .Add(report, sign);
  }
}

const TargetRateLimiter::Hearing& TargetRateLimiter::UpdateHearing(
    TimePoint now) {
  if (hearing_.at == now) return hearing_;
  hearing_ = {.at = now};
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    PeerReports& reports = peer->second;
    const Duration age = now - reports.received_at;
    if (reports.is_fresh && age >= options_.report_freshness) {
      AddToSums(reports, -1);
      reports.is_fresh = false;
      AddToSums(reports, 1);
    }
    if (age >= options_.report_lifetime) {
      AddToSums(reports, -1);
      peer = peers_.erase(peer);
      continue;
    }
    if (reports.is_fresh) {
      ++hearing_.fresh_peers;
      hearing_.age_sum += ToSeconds(age);
    }
    ++peer;
  }
  return hearing_;
}

void TargetRateLimiter::Tick(TimePoint now) {
  UpdateHearing(now);
  std::erase_if(targets_, [&](const auto& entry) {
    return now - entry.second.used_at >= options_.target_lifetime;
  });
}

double TargetRateLimiter::Demand(const DecayingRate& rate,
                                 TimePoint now) const {
  const double time_constant = ToSeconds(options_.demand_time_constant);
  return rate.count / time_constant *
         std::exp(-ToSeconds(now - rate.updated_at) / time_constant);
}

void TargetRateLimiter::RemoveExpiredSends(Target* target,
                                           TimePoint now) const {
  while (!target->sends.empty() &&
         now - target->sends.front() >= options_.window) {
    target->sends.pop_front();
  }
}

TargetRateLimiter::FleetTotals TargetRateLimiter::Totals(Target* target,
                                                         TimePoint now) {
  const Hearing& hearing = UpdateHearing(now);
  RemoveExpiredSends(target, now);
  FleetTotals totals{.load = target->fresh_reports};
  for (size_t urgency = 0; urgency < kOfferUrgencyCount; ++urgency) {
    totals.load.demand[urgency] += Demand(target->demand[urgency], now);
  }
  totals.load.sends += static_cast<double>(target->sends.size());
  const double window = ToSeconds(options_.window);
  const int heard = hearing.fresh_peers + 1;  // with this daemon
  const int unheard = std::max(sender_count_ - heard, 0);
  const double unheard_ratio = static_cast<double>(unheard) / heard;
  totals.staleness =
      (hearing.age_sum + unheard * window) / ((heard + unheard) * window);
  const auto add_unheard = [&](double* sum, double outdated) {
    *sum += std::max(*sum * unheard_ratio, outdated);
  };
  const Load& outdated = target->outdated_reports;
  for (size_t urgency = 0; urgency < kOfferUrgencyCount; ++urgency) {
    add_unheard(&totals.load.demand[urgency], outdated.demand[urgency]);
  }
  add_unheard(&totals.load.sends, outdated.sends);
  return totals;
}

double TargetRateLimiter::EnforcedLimit(const Target& target,
                                        const FleetTotals& totals) const {
  return std::max(target.limit.value_or(0), options_.min_limit) *
         (1 - options_.staleness_reserve * totals.staleness);
}

double TargetRateLimiter::WindowBound(const Target& target,
                                      const FleetTotals& totals,
                                      OfferUrgency urgency) const {
  const double allowed =
      EnforcedLimit(target, totals) * ToSeconds(options_.window);
  const double reserved =
      options_.reserved_fraction * static_cast<double>(urgency);
  return allowed * (1 + options_.window_tolerance) * (1 - reserved) +
         options_.window_allowance;
}

double TargetRateLimiter::AdmittedFraction(const Target& target,
                                           const FleetTotals& totals,
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
  DecayingRate& rate = target.demand[index];
  rate.count = Demand(rate, now) * ToSeconds(options_.demand_time_constant) + 1;
  rate.updated_at = now;
  if (!target.limit) return true;
  const FleetTotals totals = Totals(&target, now);
  double& credit = target.credit[index];
  credit =
      std::min(credit + AdmittedFraction(target, totals, urgency), kMaxCredit);
  const double bound = WindowBound(target, totals, urgency);
  if (credit < 1 || totals.load.sends + 1 > bound) return false;
  credit -= 1;
  return true;
}

void TargetRateLimiter::RecordSend(uint64_t id, TimePoint now) {
  Target& target = FindOrAdd(id, now);
  RemoveExpiredSends(&target, now);
  target.sends.push_back(now);
}

Duration TargetRateLimiter::TimeUntilAdmission(uint64_t id,
                                               OfferUrgency urgency,
                                               TimePoint now) {
  Target& target = FindOrAdd(id, now);
  if (!target.limit) return Duration::zero();
  const FleetTotals totals = Totals(&target, now);
  const size_t index = static_cast<size_t>(urgency);
  const double rate = Demand(target.demand[index], now) *
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
  for (auto& [id, target] : targets_) {
    if (!target.limit_known_at) continue;
    RemoveExpiredSends(&target, now);
    const RateLimitReport report{
        .limit = target.limit,
        .age = now - *target.limit_known_at,
        .urgent_demand = Demand(target.demand[kUrgent], now),
        .other_demand = Demand(target.demand[kOther], now),
        .passed_on_demand = Demand(target.demand[kPassedOn], now),
        .recent_sends = static_cast<int>(target.sends.size())};
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
  const FleetTotals totals = Totals(&found->second, now);
  return totals.load.sends /
         WindowBound(found->second, totals, OfferUrgency::kUrgent);
}

double TargetRateLimiter::FleetSends(uint64_t id, TimePoint now) {
  return Totals(&FindOrAdd(id, now), now).load.sends;
}

}  // namespace greengage
