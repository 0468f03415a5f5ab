#ifndef GG_HTTP_CALLER_CONNECTION_H_
#define GG_HTTP_CALLER_CONNECTION_H_

#include <string>

#include "gg_core/time.h"
#include "gg_http/http_types.h"

namespace greengage {

/** One connection from a caller, with the bytes read from it that no request
    has consumed. Used on its io_context's thread only. */
struct CallerConnection {
  explicit CallerConnection(asio::ip::tcp::socket socket)
      : stream(std::move(socket)) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  std::string address;       // "ip:port"
  uint32_t client_ipv4 = 0;  // host byte order; 0 for an IPv6 caller
  bool is_idle = false;      // waiting for the next request
  TimePoint idle_since{};
};

/** Result of handling one request. */
struct HandlerResult {
  /** True if the connection may carry another request. */
  bool keep_alive = false;
};

/** Timeout of one read from or one write to a caller, while its request is
    handled. */
inline constexpr Duration kCallerIoTimeout = std::chrono::seconds(60);

}  // namespace greengage

#endif  // GG_HTTP_CALLER_CONNECTION_H_
