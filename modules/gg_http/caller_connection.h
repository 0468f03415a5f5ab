#ifndef GG_HTTP_CALLER_CONNECTION_H_
#define GG_HTTP_CALLER_CONNECTION_H_

#include <string>

#include "gg_core/time.h"
#include "gg_http/http_types.h"

namespace greengage {

/** One connection from a caller. Used on its io_context's thread only. */
struct CallerConnection {
  explicit CallerConnection(asio::ip::tcp::socket socket)
      : stream(std::move(socket)) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::string address;       // "ip:port"
  uint32_t client_ipv4 = 0;  // IPv4, host byte order
  bool is_idle = false;      // between two requests
  TimePoint idle_since{};
};

/** Outcome of handling one request. */
struct HandlerResult {
  /** The connection may carry another request. */
  bool keep_alive = false;
};

/** Longest silence of a caller in the middle of a request. */
inline constexpr Duration kCallerIoTimeout = std::chrono::seconds(60);

}  // namespace greengage

#endif  // GG_HTTP_CALLER_CONNECTION_H_
