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

/** What may be repeated of a route's requests. */
enum class RequestKind { kIdempotent, kNonIdempotent, kUpload };

inline constexpr EnumNames<RequestKind, 3> kRequestKindNames{
    {"idempotent", "non_idempotent", "upload"}};

/** One service of a route and its part of the route's requests. */
struct ServiceShare {
  std::string service;
  double weight = 1;
};

/** How the requests of one host and path prefix are served. */
struct RouteRule {
  std::string name;
  std::string host;
  std::string prefix;  // begins and ends with a slash
  RequestKind kind = RequestKind::kNonIdempotent;
  Duration time_limit{};  // from arrival to the final answer; zero: none
  Duration latency_objective{};
  int priority = 0;  // 0 is the most urgent
  std::vector<ServiceShare> shares;
  int max_attempts = 1;  // targets that one request may be sent to
  bool is_sticky = false;
  std::vector<std::string> home_regions;  // empty: everywhere

  bool is_idempotent() const { return kind == RequestKind::kIdempotent; }
};

/** What holds for all targets of a service. */
struct ServiceRule {
  std::string health_path;
  int max_connections = 0;   // a target, from all daemons; 0: no limit
  Duration cold_duration{};  // how long a target is cold after its start
  double cold_requests_per_second =
      0;  // requests a second that a cold target bears
};

/** Bounds on what a caller may send and how long it may take. */
struct TrafficLimits {
  uint32_t max_header_bytes = 16 * 1024;
  uint64_t max_body_bytes = uint64_t{64} * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/** One version of the operators' configuration. Immutable once published. */
struct FleetConfig {
  uint64_t version = 0;
  std::vector<RouteRule> routes;
  std::map<std::string, ServiceRule> services;
  TrafficLimits limits;
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

}  // namespace greengage

#endif  // GG_FLEET_FLEET_CONFIG_H_
