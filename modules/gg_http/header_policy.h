#ifndef GG_HTTP_HEADER_POLICY_H_
#define GG_HTTP_HEADER_POLICY_H_

#include "gg_http/http_types.h"

namespace greengage {

/** Copies the end-to-end fields from one message to another. Left out are the
    hop-by-hop fields of RFC 9110 section 7.6.1, those that Connection names,
   and the framing fields, which the sender of the copy sets anew. */
void CopyEndToEndFields(const http::fields& from, http::fields* to);

/** True for a status that never has a body (1xx, 204, 304). */
bool IsBodyless(http::status status);

}  // namespace greengage

#endif  // GG_HTTP_HEADER_POLICY_H_
