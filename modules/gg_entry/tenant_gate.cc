#include "gg_entry/tenant_gate.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "gg_insight/event_log.h"
#include "gg_insight/metrics.h"

namespace greengage {
namespace {

/** Shortest time between two log lines on a tenant over its limit. Each refused
    request has a line of its own. */
constexpr Duration kLogInterval = std::chrono::seconds(10);

}  // namespace

std::optional<TenantGate::Refusal> TenantGate::Check(
    const CallerIdentity& caller, TimePoint now) {
  if (!caller.is_accepted) return Refusal{};
  if (caller.tenant == nullptr) return std::nullopt;
  const TenantRule& tenant = *caller.tenant;
  if (!limiter_->IsEnforced(tenant)) return std::nullopt;
  const bool is_admitted = limiter_->TryAdmit(tenant, now);
  metrics_->IncrementCounter(
      "greengage_limited_tenant_requests_total",
      absl::StrCat("tenant=\"", absl::CHexEscape(tenant.name), "\",result=\"",
                   is_admitted ? "admitted" : "over_limit", "\""));
  if (is_admitted) return std::nullopt;
  LogOverLimit(tenant, now);
  return Refusal{.reason = TenantRefusal::kTenantOverLimit,
                 .status = kTooManyRequests,
                 .retry_after = limiter_->ReserveRetry(tenant, now)};
}

void TenantGate::LogOverLimit(const TenantRule& tenant, TimePoint now) {
  const auto [entry, is_new] = logged_at_.try_emplace(tenant.name, now);
  if (!is_new && now - entry->second < kLogInterval) return;
  entry->second = now;
  const SubjectLoad fleet = limiter_->FleetTotals(tenant, now);
  LogEvent(
      LogLevel::kWarning, Event::kTenantOverLimit,
      absl::StrCat("tenant=", tenant.name, " rate=", tenant.requests_per_second,
                   " burst=", tenant.burst, " fleet_demand=", fleet.demand[0],
                   " fleet_sends=", fleet.sends));
}

}  // namespace greengage
