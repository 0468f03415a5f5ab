#ifndef GG_REQUEST_ROUTE_TABLE_H_
#define GG_REQUEST_ROUTE_TABLE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gg_fleet/fleet_config.h"

namespace greengage {

/** Finds the route of a request: among the routes of its host, the one with the
    longest prefix that matches the path. Immutable after construction. */
class RouteTable {
 public:
  explicit RouteTable(FleetConfigPtr config);

  /** Returns the matching route, or nullptr if there is none.
      @param host  value of the Host header; a port is ignored.
      @param target  path and query of the request. */
  const RouteRule* Find(std::string_view host, std::string_view target) const;

  /** Returns the configuration that owns the routes. */
  const FleetConfigPtr& config() const { return config_; }

 private:
  FleetConfigPtr config_;
  /** Routes by host in lower case, longest prefix first. */
  std::map<std::string, std::vector<const RouteRule*>, std::less<>> by_host_;
};

}  // namespace greengage

#endif  // GG_REQUEST_ROUTE_TABLE_H_
