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

/** Region with the availability zones in it and the load it carries. */
struct RegionSpec {
  std::string name;
  int64_t capacity = 0;  // concurrent requests, all services together
  std::vector<std::string> zones;
};

/** One direction of the link between two regions. */
struct LinkSpec {
  std::string from;
  std::string to;
  int64_t bytes_per_second = 0;
};

/** Block of client addresses and the region it is near to. */
struct AddressBlockSpec {
  uint32_t network = 0;  // IPv4, host byte order
  int prefix_length = 0;
  std::string region;
};

/** One target of a service. */
struct TargetSpec {
  std::string name;
  std::string address;  // "ip:port"
  std::string zone;
  int64_t slots = 0;
  int64_t connections = 0;
  bool is_leaving = false;
};

/** What a request is and how it is treated, by method and path prefix. */
struct RouteSpec {
  std::string method;  // "*" for any
  std::string path_prefix;
  std::string kind;
  double weight = 1;  // value of one honoured request
  bool is_idempotent = false;
  bool requires_key = false;
  Duration time_limit{};   // zero: none
  int64_t body_limit = 0;  // bytes
};

/** Greatest move of traffic between regions in any window. */
struct ShiftSpec {
  double cap = 0;  // fraction of the service's traffic
  Duration window{};
};

/** Fractions of the traffic of one home region by region of the targets. */
using RegionSplit = std::map<std::string, double>;

/** One service, written by one team in one section. */
struct ServiceSpec {
  std::string name;
  std::string owner;
  std::vector<std::string> hosts;  // values of the Host header
  std::vector<TargetSpec> targets;
  std::vector<RouteSpec> routes;
  ShiftSpec shift;
  std::map<std::string, RegionSplit> split;  // by home region
  Duration cold_start{};
  Duration lookup_ttl{};
};

/** The whole document in typed form. Immutable once parsed; shared between
    threads through a shared_ptr to const. */
struct Document {
  std::string deployment;
  std::string platform_owner;
  std::vector<RegionSpec> regions;
  std::vector<LinkSpec> links;
  std::vector<AddressBlockSpec> blocks;
  std::vector<ServiceSpec> services;
  int64_t slices = 0;

  /** Returns the service called `name`, or nullptr. */
  const ServiceSpec* FindService(std::string_view name) const;

  /** Returns the service that answers to the Host header `host` (a port is
      ignored), or nullptr. */
  const ServiceSpec* FindServiceByHost(std::string_view host) const;

  /** Returns the region called `name`, or nullptr. */
  const RegionSpec* FindRegion(std::string_view name) const;

  /** Returns the name of the region that holds `zone`, or "". */
  std::string_view RegionOfZone(std::string_view zone) const;

  /** Returns the link from one region to another, or nullptr. */
  const LinkSpec* FindLink(std::string_view from, std::string_view to) const;

  /** Returns the region of the longest matching block, or `fallback`.
      @param address  IPv4 in host byte order. */
  std::string_view HomeRegion(uint32_t address,
                              std::string_view fallback) const;
};

/** Returns the route with the longest prefix that matches, or nullptr. */
const RouteSpec* FindRoute(const ServiceSpec& service, std::string_view method,
                           std::string_view path);

/** Returns the longest time limit of any route of any service. */
Duration LongestTimeLimit(const Document& document);

using DocumentPtr = std::shared_ptr<const Document>;

}  // namespace greengage

#endif  // GG_DOCUMENT_DOCUMENT_H_
