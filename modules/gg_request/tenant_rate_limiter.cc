#include "gg_request/tenant_rate_limiter.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "gg_core/hash.h"

namespace greengage {
namespace {

/** Limit of the credit that offers gain while the window is full. */
constexpr double kMaxCredit = 1.5;

/** Longest time until the next admission that is expected. */
constexpr Duration kMaxAdmissionDelay = std::chrono::seconds(10);

/** Demand below which a daemon has no news of a tenant, per second. */
constexpr double kMinReportedDemand = 0.05;

/** Standard deviations by which a demand must exceed the limit before it counts
    as too high. At one, small tenants within their limit were refused. */
constexpr double kDemandDeviations = 2;

/** Largest drift of the clock of another host. */
constexpr double kMaxClockDrift = 0.001;

/** Ratio of the time by which reports are assumed to lag to their mean age.
   Half of them are older than the mean. */
constexpr double kLagFactor = 1.5;

/** Part of its share to which a daemon keeps that hears no other one. The
   others may have learned other shares before they were cut off. */
constexpr double kAloneFraction = 0.85;

/** Part of the lag of reports by which a surge is noticed earlier. */
constexpr double kNoticedPart = 0.4;

/** Room for each daemon, in requests, below which not every one may add a
   request at the same time. Few daemons get a request of a tenant at a time. */
constexpr double kLeastRoomPerDaemon = 0.25;

/** Random part of the time that a refused caller is told. Callers of several
    daemons would return at the same moments otherwise. */
constexpr double kRetryJitter = 0.25;

/** Returns the key of a tenant in the reports. Two tenants of the same hash
    would only be limited earlier. */
uint32_t TenantId(std::string_view name) {
  return static_cast<uint32_t>(Hash64(name, 0));
}

}  // namespace

TenantRateLimiter::TenantRateLimiter(Options options)
    : options_(options),
      random_(options.seed),
      load_({.history = 2 * options.report_freshness,
             .demand_time_constant = options.demand_time_constant,
             .report_freshness = options.report_freshness,
             .report_lifetime = options.report_lifetime}) {}

void TenantRateLimiter::SetBounds(const TenantLimitBounds& bounds) {
  bounds_ = bounds;
  load_.SetWindow(bounds.window);
}

TenantRateLimiter::Tenant& TenantRateLimiter::FindOrAdd(uint32_t id,
                                                        TimePoint now) {
  const auto [found, is_new] = tenants_.try_emplace(id);
  // A random start, as the daemons' admissions must not coincide.
  if (is_new) found->second.credit = random_.NextDouble();
  found->second.used_at = now;
  return found->second;
}

void TenantRateLimiter::RecordPeerReports(const std::string& host,
                                          uint64_t incarnation,
                                          const TenantLoadReports& reports,
                                          TimePoint now) {
  if (bounds_.window <= Duration::zero() || reports.sent_at_ms == 0) return;
  Peer& peer = peers_[host];
  const bool is_outdated =
      incarnation < peer.incarnation || (incarnation == peer.incarnation &&
                                         reports.sent_at_ms <= peer.sent_at_ms);
  if (is_outdated) return;
  const TimePoint started_at =
      now - std::chrono::milliseconds(reports.sent_at_ms);
  if (incarnation != peer.incarnation) peer = {.started_at = started_at};
  // The clocks of two hosts may drift apart.
  const Duration drift =
      peer.received_at == TimePoint{}
          ? Duration::zero()
          : FromSeconds(ToSeconds(now - peer.received_at) * kMaxClockDrift);
  peer = {.incarnation = incarnation,
          .sent_at_ms = reports.sent_at_ms,
          .received_at = now,
          .started_at = std::min(peer.started_at + drift, started_at)};
  const Duration delay = started_at - peer.started_at;
  std::map<uint64_t, SubjectLoad> loads;
  for (const auto& [id, report] : reports.tenants) {
    FindOrAdd(id, now);
    loads[id] = {.demand = {report.demand},
                 .sends = static_cast<double>(report.recent_sends)};
  }
  load_.RecordPeerReports(absl::StrCat(host, "#", incarnation),
                          std::move(loads), now - delay);
}

void TenantRateLimiter::Tick(TimePoint now) {
  if (!started_at_) started_at_ = now;
  load_.Tick(now);
  std::erase_if(tenants_, [&](const auto& entry) {
    const bool is_unused =
        now - entry.second.used_at >= options_.tenant_lifetime;
    if (is_unused) load_.Forget(entry.first);
    return is_unused;
  });
  std::erase_if(peers_, [&](const auto& entry) {
    return now - entry.second.received_at >= options_.tenant_lifetime;
  });
}

double TenantRateLimiter::HiddenSenders(TimePoint now) {
  if (!started_at_) started_at_ = now;
  const double age = ToSeconds(now - *started_at_);
  return std::max(1 - age / ToSeconds(bounds_.window), 0.0);
}

TenantRateLimiter::Assessment TenantRateLimiter::Assess(const TenantRule& rule,
                                                        Tenant* tenant,
                                                        uint32_t id,
                                                        TimePoint now) {
  const double window = ToSeconds(bounds_.window);
  const double limit = rule.requests_per_second * window + rule.burst;
  const double overshoot = limit * bounds_.overshoot + bounds_.slack;
  const double hidden_senders = HiddenSenders(now);
  FleetLoad::Totals totals = load_.FleetTotals(id, now, hidden_senders);
  totals.load.sends += totals.unreported_growth;
  Assessment result{.own = load_.Own(id, now),
                    .fleet = totals.load,
                    .admitted_rate = limit / window};
  const double equal_share = 1.0 / totals.sender_count;
  const bool is_alone = totals.fresh_peers == 0 && totals.sender_count > 1;
  if (is_alone) {
    const double share = kAloneFraction * tenant->share.value_or(equal_share);
    result.fleet = {.demand = {result.own.demand[0] / share},
                    .sends = result.own.sends / share};
    // One request is admitted in any case: a small tenant's share of the
    // window is less than one request.
    result.excess_sends = result.own.sends + 1 - std::max(share * limit, 1.0);
  } else {
    // The delay of reports is known only after some of them.
    const double lag =
        std::max(ToSeconds(options_.report_lag) * (1 + hidden_senders),
                 kLagFactor * totals.mean_age);
    const double own_before = load_.OwnSends(id, now - FromSeconds(lag));
    const double fleet_before =
        std::max(totals.load.sends - result.own.sends + own_before, 0.0);
    double share = equal_share;
    if (fleet_before > 0) {
      share = options_.equal_fraction * equal_share +
              (1 - options_.equal_fraction) * own_before / fleet_before;
    }
    if (totals.fresh_peers > 0) tenant->share = share;
    const double room =
        limit + options_.expected_overshoot_fraction * overshoot - fleet_before;
    result.is_ample = totals.load.sends + 1 <= options_.ample_fraction * limit;
    // What the other daemons may send before this one notices. Growth is
    // noticed by the first reports that show it, unless reports are late.
    const double report_lag = ToSeconds(options_.report_lag);
    const double notice_time =
        lag - kNoticedPart * report_lag * report_lag / lag;
    const double surge =
        rule.requests_per_second * (options_.surge_factor - 1) * notice_time;
    const bool is_small = surge <= bounds_.slack && limit * equal_share < 1;
    // A daemon's share of a small tenant's limit is less than a request. A
    // surge of the tenant fits into the slack, and its demand is too uneven to
    // tell what part of it to admit.
    if (is_small) result.is_ample = true;
    double least_growth = is_small ? std::max(room, options_.ample_growth)
                                   : options_.ample_growth;
    if (!result.is_ample) {
      const bool may_all_grow = room * equal_share >= kLeastRoomPerDaemon;
      least_growth = may_all_grow ? options_.min_growth : 0;
    }
    const double growth = std::max({share * room, room - surge, least_growth});
    const double known_slack =
        bounds_.slack * (is_small ? options_.small_tenant_slack_fraction
                                  : options_.known_slack_fraction);
    result.excess_sends =
        std::max(result.own.sends + 1 - own_before - growth,
                 totals.load.sends + 1 - (limit + known_slack));
  }
  // The demand is known from a few requests only. What is above the limit by
  // chance is admitted; the bounds on the window hold the mean.
  const double demand = result.fleet.demand[0];
  const double deviation =
      kDemandDeviations *
      std::sqrt(demand / (2 * ToSeconds(options_.demand_time_constant)));
  if (demand - deviation > result.admitted_rate) {
    result.fraction = result.admitted_rate / (demand - deviation);
  }
  return result;
}

bool TenantRateLimiter::TryAdmit(const TenantRule& rule, TimePoint now) {
  if (!IsEnforced(rule)) return true;
  const uint32_t id = TenantId(rule.name);
  Tenant& tenant = FindOrAdd(id, now);
  load_.RecordDemand(id, 0, now);
  const Assessment assessment = Assess(rule, &tenant, id, now);
  tenant.credit = std::min(tenant.credit + assessment.fraction, kMaxCredit);
  const bool has_room = !options_.bounds_window || assessment.excess_sends <= 0;
  if (!has_room) return false;
  if (!assessment.is_ample && tenant.credit < 1) return false;
  tenant.credit = std::max(tenant.credit - 1, 0.0);
  load_.RecordSend(id, now);
  return true;
}

Duration TenantRateLimiter::TimeUntilAdmission(const TenantRule& rule,
                                               TimePoint now) {
  if (!IsEnforced(rule)) return Duration::zero();
  const uint32_t id = TenantId(rule.name);
  Tenant& tenant = FindOrAdd(id, now);
  const Assessment assessment = Assess(rule, &tenant, id, now);
  double seconds = 0;
  if (assessment.excess_sends > 0) {
    // In a full window, room appears at about the rate of the limit.
    seconds = assessment.excess_sends / assessment.admitted_rate;
  }
  if (!assessment.is_ample) {
    const double rate = assessment.own.demand[0] * assessment.fraction;
    seconds = std::max(seconds, std::max(1 - tenant.credit, 0.0) /
                                    std::max(rate, kMinReportedDemand));
  }
  return FromSeconds(std::min(seconds, ToSeconds(kMaxAdmissionDelay)));
}

Duration TenantRateLimiter::ReserveRetry(const TenantRule& rule,
                                         TimePoint now) {
  const Duration earliest = TimeUntilAdmission(rule, now);
  const uint32_t id = TenantId(rule.name);
  Tenant& tenant = FindOrAdd(id, now);
  const Assessment assessment = Assess(rule, &tenant, id, now);
  const double rate = std::max(assessment.own.demand[0] * assessment.fraction,
                               kMinReportedDemand);
  tenant.next_retry =
      std::clamp(tenant.next_retry, now + earliest, now + kMaxAdmissionDelay);
  const double seconds = ToSeconds(tenant.next_retry - now);
  tenant.next_retry += FromSeconds(1 / rate);
  return FromSeconds(seconds * (1 + kRetryJitter * random_.NextDouble()));
}

TenantLoadReports TenantRateLimiter::Reports(TimePoint now) {
  TenantLoadReports reports;
  if (bounds_.window <= Duration::zero()) return reports;
  if (!started_at_) started_at_ = now;
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - *started_at_);
  last_sent_at_ms_ =
      std::max(last_sent_at_ms_ + 1, static_cast<uint32_t>(age.count()));
  reports.sent_at_ms = last_sent_at_ms_;
  for (const auto& [id, tenant] : tenants_) {
    const SubjectLoad own = load_.Own(id, now);
    if (own.demand[0] < kMinReportedDemand && own.sends == 0) continue;
    reports.tenants[id] = {.demand = own.demand[0],
                           .recent_sends = static_cast<int>(own.sends)};
  }
  return reports;
}

SubjectLoad TenantRateLimiter::FleetTotals(const TenantRule& rule,
                                           TimePoint now) {
  const uint32_t id = TenantId(rule.name);
  return Assess(rule, &FindOrAdd(id, now), id, now).fleet;
}

}  // namespace greengage
