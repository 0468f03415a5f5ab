#ifndef GG_REQUEST_CALLER_IDENTITY_H_
#define GG_REQUEST_CALLER_IDENTITY_H_

#include "gg_fleet/fleet_config.h"
#include "gg_request/home_regions.h"
#include "gg_request/tenant_directory.h"

namespace greengage {

/** Who sent a request, and what follows from it together with the route. */
struct CallerIdentity {
  /** Whether the request may be served at all: there are no tenants, its key is
      known, or its route is public. */
  bool is_accepted = true;
  const TenantRule* tenant = nullptr;  // nullptr: unknown, or no tenants
  HomeRegions home_regions;
};

/** Identifies the caller of a request on `route` by its key. */
CallerIdentity IdentifyCaller(const TenantDirectory& tenants,
                              const RouteRule& route, std::string_view key);

}  // namespace greengage

#endif  // GG_REQUEST_CALLER_IDENTITY_H_
