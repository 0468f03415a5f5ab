#ifndef GG_ENTRY_TENANT_GATE_H_
#define GG_ENTRY_TENANT_GATE_H_

#include <map>
#include <optional>
#include <string>

#include "gg_core/enum_names.h"
#include "gg_request/caller_identity.h"
#include "gg_request/tenant_rate_limiter.h"

namespace greengage {

class Metrics;

/** Why a request is refused because of who sent it. */
enum class TenantRefusal { kInvalidKey, kTenantOverLimit };

inline constexpr EnumNames<TenantRefusal, 2> kTenantRefusalNames{
    {"invalid_key", "tenant_over_limit"}};

/** Decides whether a request may go on by its key and its tenant's limit, and
    reports refusals. Traffic thread only. */
class TenantGate {
 public:
  // RFC 9110, section 15.5.2, and RFC 6585, section 4.
  static constexpr unsigned kUnauthorized = 401;
  static constexpr unsigned kTooManyRequests = 429;

  /** A refused request. */
  struct Refusal {
    TenantRefusal reason = TenantRefusal::kInvalidKey;
    unsigned status = kUnauthorized;  // of the HTTP response
    std::optional<Duration> retry_after;
  };

  TenantGate(TenantRateLimiter* limiter, Metrics* metrics)
      : limiter_(limiter), metrics_(metrics) {}

  /** Checks a request of `caller`, which counts towards its tenant's limit if
      it is admitted. Called once for each request, before its first attempt.
      @return the refusal, or nullopt if the request may go on. */
  std::optional<Refusal> Check(const CallerIdentity& caller, TimePoint now);

 private:
  /** Logs that a tenant is over its limit, unless that was logged lately. */
  void LogOverLimit(const TenantRule& tenant, TimePoint now);

  TenantRateLimiter* limiter_;                  // not owned
  Metrics* metrics_;                            // not owned
  std::map<std::string, TimePoint> logged_at_;  // by tenant
};

}  // namespace greengage

#endif  // GG_ENTRY_TENANT_GATE_H_
