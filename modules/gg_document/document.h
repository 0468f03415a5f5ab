#ifndef GG_DOCUMENT_DOCUMENT_H_
#define GG_DOCUMENT_DOCUMENT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gg_core/time.h"

namespace greengage {

/** Region with its availability zones and its capacity. */
struct RegionSpec {
  std::string name;
  int64_t capacity = 0;  // concurrent requests, sum over all services
  std::vector<std::string> zones;
};

/** One direction of the link between two regions. */
struct LinkSpec {
  std::string from;
  std::string to;
  int64_t bytes_per_second = 0;
};

/** Block of client addresses and the region closest to these clients. */
struct AddressBlockSpec {
  uint32_t network = 0;  // IPv4, host byte order
  int prefix_length = 0;
  std::string region;
};

/** Target of a service, that is, one server that handles its requests. */
struct TargetSpec {
  std::string name;
  std::string address;  // "ip:port"
  std::string zone;
  int64_t slots = 0;        // concurrent requests
  int64_t connections = 0;  // concurrent connections
  bool is_leaving = false;  // gets no new requests
};

/** Kind and limits of the requests that match a method and a path prefix. */
struct RouteSpec {
  std::string method;  // "*" for any
  std::string path_prefix;
  std::string kind;
  double weight = 1;  // value of one successful request
  bool is_idempotent = false;
  bool requires_key = false;  // refuse requests without Idempotency-Key
  Duration time_limit{};      // zero: none
  int64_t body_limit = 0;     // bytes
};

/** Limit on how much traffic may move between regions in any time window. */
struct ShiftSpec {
  double cap = 0;  // fraction of the service's traffic
  Duration window{};
};

/** Fraction of one home region's traffic that goes to each region of targets.
    The fractions add up to 1. */
using RegionSplit = std::map<std::string, double>;

/** One service. Each service has a section of its own, which one team owns. */
struct ServiceSpec {
  std::string name;
  std::string owner;
  std::vector<std::string> hosts;  // values of the Host header
  std::vector<TargetSpec> targets;
  std::vector<RouteSpec> routes;
  ShiftSpec shift;
  std::map<std::string, RegionSplit> split;  // by home region
  Duration cold_start{};  // time in which a new target reaches full load
  Duration lookup_ttl{};  // how long callers may cache a look-up
};

/** The whole document in typed form.

    Immutable after parsing, so threads may share it through DocumentPtr. */
struct Document {
  std::string deployment;
  std::string platform_owner;
  std::vector<RegionSpec> regions;
  std::vector<LinkSpec> links;
  std::vector<AddressBlockSpec> blocks;
  std::vector<ServiceSpec> services;
  int64_t slices = 0;  // equal parts into which each capacity is divided

  /** Returns the service called `name`, or nullptr. */
  const ServiceSpec* FindService(std::string_view name) const;

  /** Returns the service that lists `host` among its Host header values, or
      nullptr. A port in `host` is ignored. */
  const ServiceSpec* FindServiceByHost(std::string_view host) const;

  /** Returns the region called `name`, or nullptr. */
  const RegionSpec* FindRegion(std::string_view name) const;

  /** Returns the name of the region that contains the availability zone `zone`,
      or "". */
  std::string_view RegionOfZone(std::string_view zone) const;

  /** Returns the link from region `from` to region `to`, or nullptr. */
  const LinkSpec* FindLink(std::string_view from, std::string_view to) const;

  /** Returns the region of the address block with the longest prefix that
      contains `address`, or `fallback` when no block does.
      @param address  IPv4 in host byte order. */
  std::string_view HomeRegion(uint32_t address,
                              std::string_view fallback) const;
};

/** Returns the route with the longest path prefix among those that match
    `method` and `path`, or nullptr. */
const RouteSpec* FindRoute(const ServiceSpec& service, std::string_view method,
                           std::string_view path);

/** Returns the longest time limit among the routes of all services. */
Duration LongestTimeLimit(const Document& document);

using DocumentPtr = std::shared_ptr<const Document>;

}  // namespace greengage

#endif  // GG_DOCUMENT_DOCUMENT_H_
