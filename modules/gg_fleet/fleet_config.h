#ifndef GG_FLEET_FLEET_CONFIG_H_
#define GG_FLEET_FLEET_CONFIG_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gg_core/enum_names.h"
#include "gg_core/time.h"

namespace greengage {

/** Kind of a route's requests; decides whether a failed request may be
    retried. A download is an idempotent request with a large response. */
enum class RequestKind { kIdempotent, kNonIdempotent, kUpload, kDownload };

inline constexpr EnumNames<RequestKind, 4> kRequestKindNames{
    {"idempotent", "non_idempotent", "upload", "download"}};

/** A service of a route and the weight of its share of the route's requests. */
struct ServiceShare {
  std::string service;
  double weight = 1;
};

/** Rules for the requests to one host and path prefix. */
struct RouteRule {
  std::string name;
  std::string host;
  std::string prefix;  // begins and ends with a slash
  RequestKind kind = RequestKind::kNonIdempotent;
  Duration time_limit{};  // from arrival to the final answer; zero: no limit
  Duration latency_objective{};
  int priority = 0;  // 0 is the most urgent
  std::vector<ServiceShare> shares;
  int max_attempts = 1;    // number of targets that one request may be sent to
  bool is_sticky = false;  // prefer the same target for the same object
  std::vector<std::string> home_regions;  // empty: any region
  bool is_public = false;  // needs no key, also when there are tenants

  bool is_idempotent() const {
    return kind == RequestKind::kIdempotent || kind == RequestKind::kDownload;
  }
};

/** A tenant: callers that share keys, a priority and a rate limit. */
struct TenantRule {
  std::string name;
  std::vector<std::string> api_keys;
  int priority = 0;  // 0 is the most urgent; precedes the route's priority
  /** Requests per second and burst of all daemons together; 0: no limit. */
  double requests_per_second = 0;
  double burst = 0;
  std::vector<std::string> home_regions;  // empty: any region
};

/** Settings that apply to every target of a service. */
struct ServiceRule {
  std::string health_path;
  /** Limit per target, summed over all daemons; 0: no limit. */
  int max_connections = 0;
  /** How long a target counts as cold after its start. */
  Duration cold_duration{};
  /** Rate that a cold target can handle, summed over all daemons. */
  double cold_requests_per_second = 0;
};

/** Limits on the size of a caller's request and on the time it takes to send
    one. */
struct TrafficLimits {
  uint32_t max_header_bytes = 16 * 1024;
  uint64_t max_body_bytes = uint64_t{64} * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/** A version of the operators' configuration. Immutable once published. */
struct FleetConfig {
  uint64_t version = 0;
  std::vector<RouteRule> routes;
  std::map<std::string, ServiceRule> services;
  std::vector<TenantRule> tenants;
  TrafficLimits limits;
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

}  // namespace greengage

#endif  // GG_FLEET_FLEET_CONFIG_H_
