#ifndef GG_HTTP_HTTP_TYPES_H_
#define GG_HTTP_HTTP_TYPES_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <limits>
#include <string_view>

#include "gg_store/asio.h"  // includes <utility> for Boost.Asio 1.74
#include "gg_store/response_parser.h"

namespace greengage {

namespace beast = boost::beast;
namespace http = boost::beast::http;

using RequestParser = BoundedParser<true, http::buffer_body>;
using ResponseParser = CheckedResponseParser<http::buffer_body>;
using RequestHeader = http::request_header<>;
using ResponseHeader = http::response_header<>;

/** Largest part of a body that is read or written at once. */
inline constexpr size_t kBodyChunkBytes = 64 * 1024;

/** Largest body that is buffered in memory. A request body is buffered so that
    it can be sent again, a response body so that it is known to be complete
    before it is sent to the caller. */
inline constexpr size_t kMaxBufferedBodyBytes = 64 * 1024;

/** Body limit for parsers that accept a body of any length. Beast in Boost 1.74
    rejects every body if the limit is boost::none. */
inline constexpr uint64_t kUnlimitedBody = std::numeric_limits<uint64_t>::max();

/** Largest request header accepted; a longer one is refused with status 431. */
inline constexpr uint32_t kMaxRequestHeaderBytes = 16 * 1024;

/** Names of the header fields that this system reads or sets. */
inline constexpr std::string_view kOutcomeField = "Greengage-Outcome";
/** Identifies one attempt at a target. A target that repeats it in its response
    shows to which request the response belongs. */
inline constexpr std::string_view kAttemptField = "Greengage-Attempt";
inline constexpr std::string_view kHopField = "Greengage-Hop";
inline constexpr std::string_view kHomeRegionField = "Greengage-Home-Region";
inline constexpr std::string_view kDeadlineField = "Greengage-Deadline-Ms";
inline constexpr std::string_view kIdempotencyKeyField = "Idempotency-Key";

/** Prefix of the paths that the daemon serves itself. */
inline constexpr std::string_view kReservedPathPrefix = "/.greengage/";

/** Converts to the string view type of Boost.Beast. */
inline beast::string_view ToBeast(std::string_view text) {
  return {text.data(), text.size()};
}

/** Converts from the string view type of Boost.Beast. */
inline std::string_view FromBeast(beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace greengage

#endif  // GG_HTTP_HTTP_TYPES_H_
