#ifndef GG_HTTP_HEADER_POLICY_H_
#define GG_HTTP_HEADER_POLICY_H_

#include "gg_http/http_types.h"

namespace greengage {

/** Returns true if a Connection field names the field `name`, which then
    concerns this connection only. */
bool IsNamedByConnection(const http::fields& fields, beast::string_view name);

/** Copies the end-to-end header fields from one message to another. It omits
    the hop-by-hop fields of RFC 9110 section 7.6.1, the fields that Connection
    names, Expect, and Content-Length, which the sender of the copy sets. */
void CopyEndToEndFields(const http::fields& from, http::fields* to);

/** Returns true if responses with `status` never have a body (1xx, 204, 304).
 */
bool IsBodyless(unsigned status);

}  // namespace greengage

#endif  // GG_HTTP_HEADER_POLICY_H_
