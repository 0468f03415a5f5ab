#include "gg_document/document.h"

#include <algorithm>

namespace greengage {
namespace {

template <typename Items>
auto FindByName(const Items& items, std::string_view name) {
  const auto found =
      std::find_if(items.begin(), items.end(),
                   [&](const auto& item) { return item.name == name; });
  return found == items.end() ? nullptr : &*found;
}

bool BlockContains(const AddressBlockSpec& block, uint32_t address) {
  if (block.prefix_length == 0) return true;
  const unsigned host_bits = 32U - static_cast<unsigned>(block.prefix_length);
  return (block.network >> host_bits) == (address >> host_bits);
}

/** Returns whether `route` matches. Routes for GET match HEAD too. */
bool RouteMatches(const RouteSpec& route, std::string_view method,
                  std::string_view path) {
  const bool matches_method = route.method == "*" || route.method == method ||
                              (route.method == "GET" && method == "HEAD");
  return matches_method &&
         path.substr(0, route.path_prefix.size()) == route.path_prefix;
}

}  // namespace

const ServiceSpec* Document::FindService(std::string_view name) const {
  return FindByName(services, name);
}

const ServiceSpec* Document::FindServiceByHost(std::string_view host) const {
  const std::string_view host_name = host.substr(0, host.find(':'));
  for (const ServiceSpec& service : services) {
    if (std::find(service.hosts.begin(), service.hosts.end(), host_name) !=
        service.hosts.end()) {
      return &service;
    }
  }
  return nullptr;
}

const RegionSpec* Document::FindRegion(std::string_view name) const {
  return FindByName(regions, name);
}

std::string_view Document::RegionOfZone(std::string_view zone) const {
  for (const RegionSpec& region : regions) {
    if (std::find(region.zones.begin(), region.zones.end(), zone) !=
        region.zones.end()) {
      return region.name;
    }
  }
  return "";
}

const LinkSpec* Document::FindLink(std::string_view from,
                                   std::string_view to) const {
  const auto found = std::find_if(
      links.begin(), links.end(),
      [&](const LinkSpec& link) { return link.from == from && link.to == to; });
  return found == links.end() ? nullptr : &*found;
}

std::string_view Document::HomeRegion(uint32_t address,
                                      std::string_view fallback) const {
  const AddressBlockSpec* best = nullptr;
  for (const AddressBlockSpec& block : blocks) {
    if (!BlockContains(block, address)) continue;
    if (best == nullptr || block.prefix_length > best->prefix_length) {
      best = &block;
    }
  }
  if (best == nullptr) return fallback;
  return best->region;
}

const RouteSpec* FindRoute(const ServiceSpec& service, std::string_view method,
                           std::string_view path) {
  const RouteSpec* best = nullptr;
  for (const RouteSpec& route : service.routes) {
    if (!RouteMatches(route, method, path)) continue;
    if (best == nullptr ||
        route.path_prefix.size() > best->path_prefix.size()) {
      best = &route;
    }
  }
  return best;
}

Duration LongestTimeLimit(const Document& document) {
  Duration longest{};
  for (const ServiceSpec& service : document.services) {
    for (const RouteSpec& route : service.routes) {
      longest = std::max(longest, route.time_limit);
    }
  }
  return longest;
}

}  // namespace greengage
