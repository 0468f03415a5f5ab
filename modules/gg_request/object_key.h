#ifndef GG_REQUEST_OBJECT_KEY_H_
#define GG_REQUEST_OBJECT_KEY_H_

#include <cstdint>
#include <string_view>

namespace greengage {

struct RouteRule;

/** Returns a key of the object of a request, equal on every daemon.

    Targets cache objects separately for each route: a target that has read an
    object is no faster at ordering it. The key therefore includes the route, so
    that equal object names on two routes need not share a target.
    @return 0 if the request has no object or its route is not sticky. */
uint64_t ObjectKey(const RouteRule& route, std::string_view object);

}  // namespace greengage

#endif  // GG_REQUEST_OBJECT_KEY_H_
