#include "gg_request/route_table.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"

namespace greengage {

RouteTable::RouteTable(FleetConfigPtr config) : config_(std::move(config)) {
  for (const RouteRule& route : config_->routes) {
    by_host_[absl::AsciiStrToLower(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const RouteRule* a, const RouteRule* b) {
                       return a->prefix.size() > b->prefix.size();
                     });
  }
}

const RouteRule* RouteTable::Find(std::string_view host,
                                  std::string_view target) const {
  const std::string_view name = host.substr(0, host.find(':'));
  const std::string_view path = target.substr(0, target.find('?'));
  const auto found =
      by_host_.find(absl::AsciiStrToLower({name.data(), name.size()}));
  if (found == by_host_.end()) return nullptr;
  for (const RouteRule* route : found->second) {
    if (path.starts_with(route->prefix)) return route;
  }
  return nullptr;
}

}  // namespace greengage
