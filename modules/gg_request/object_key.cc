#include "gg_request/object_key.h"

#include <algorithm>

#include "gg_core/hash.h"
#include "gg_fleet/fleet_config.h"

namespace greengage {

uint64_t ObjectKey(const RouteRule& route, std::string_view object) {
  if (!route.is_sticky || object.empty()) return 0;
  // 0 is reserved for requests without an object.
  return std::max<uint64_t>(Hash64(object, Hash64(route.name)), 1);
}

}  // namespace greengage
