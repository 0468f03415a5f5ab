#include "gg_request/caller_identity.h"

namespace greengage {

CallerIdentity IdentifyCaller(const TenantDirectory& tenants,
                              const RouteRule& route, std::string_view key) {
  static const std::vector<std::string> kAnyRegion;
  CallerIdentity identity;
  if (tenants.requires_keys()) {
    identity.tenant = tenants.Find(key);
    identity.is_accepted = identity.tenant != nullptr || route.is_public;
  }
  identity.home_regions = HomeRegions(
      route.home_regions,
      identity.tenant == nullptr ? kAnyRegion : identity.tenant->home_regions);
  return identity;
}

}  // namespace greengage
