#ifndef GG_REQUEST_OBJECT_KEY_H_
#define GG_REQUEST_OBJECT_KEY_H_

#include <cstdint>
#include <string_view>

namespace greengage {

struct RouteRule;

/** Identifies what a request is about, the same on every daemon.

    Targets remember objects apart for each route: a target that has read an
    object is no faster at ordering it. So equal names on two routes are two
    objects, which need not share a target.
    @return 0 when the request is about no object, or its route gains nothing
            from a target that handled it before. */
uint64_t ObjectKey(const RouteRule& route, std::string_view object);

}  // namespace greengage

#endif  // GG_REQUEST_OBJECT_KEY_H_
