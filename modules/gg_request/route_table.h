#ifndef GG_REQUEST_ROUTE_TABLE_H_
#define GG_REQUEST_ROUTE_TABLE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gg_fleet/fleet_config.h"

namespace greengage {

/** Finds the route of a request: that of its host with the longest prefix that
    begins the path. Immutable after construction. */
class RouteTable {
 public:
  explicit RouteTable(FleetConfigPtr config);

  /** Returns the route, or nullptr when none matches.
      @param host  the Host field; a port is ignored.
      @param target  path and query. */
  const RouteRule* Find(std::string_view host, std::string_view target) const;

  const FleetConfigPtr& config() const { return config_; }

 private:
  FleetConfigPtr config_;
  /** By host; longest prefix first. */
  std::map<std::string, std::vector<const RouteRule*>, std::less<>> by_host_;
};

}  // namespace greengage

#endif  // GG_REQUEST_ROUTE_TABLE_H_
