#ifndef GG_HTTP_HTTP_TYPES_H_
#define GG_HTTP_HTTP_TYPES_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <limits>
#include <string_view>

#include "gg_store/asio.h"  // first: see there

namespace greengage {

namespace beast = boost::beast;
namespace http = boost::beast::http;

using RequestParser = http::request_parser<http::buffer_body>;
using ResponseParser = http::response_parser<http::buffer_body>;
using RequestHeader = http::request_header<>;
using ResponseHeader = http::response_header<>;

/** Bytes read or written at once when a body is passed on. */
inline constexpr size_t kBodyChunkBytes = 64 * 1024;

/** Largest body that is held in memory, to be sent again or to be known whole
    before it is sent on. */
inline constexpr size_t kMaxBufferedBodyBytes = 64 * 1024;

/** Body limit of a parser that sets none. (Beast of Boost 1.74 refuses every
   body when the limit is boost::none.) */
inline constexpr uint64_t kUnlimitedBody = std::numeric_limits<uint64_t>::max();

/** Largest request header accepted. */
inline constexpr uint32_t kMaxRequestHeaderBytes = 16 * 1024;

/** Our header fields. */
inline constexpr std::string_view kOutcomeField = "Greengage-Outcome";
inline constexpr std::string_view kHopField = "Greengage-Hop";
inline constexpr std::string_view kHomeRegionField = "Greengage-Home-Region";
inline constexpr std::string_view kDeadlineField = "Greengage-Deadline-Ms";
inline constexpr std::string_view kIdempotencyKeyField = "Idempotency-Key";

/** Paths that start with this are the system's own. */
inline constexpr std::string_view kReservedPathPrefix = "/.greengage/";

inline beast::string_view ToBeast(std::string_view text) {
  return {text.data(), text.size()};
}

inline std::string_view FromBeast(beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace greengage

#endif  // GG_HTTP_HTTP_TYPES_H_
