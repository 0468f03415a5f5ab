#ifndef GG_HTTP_CALLER_CONNECTION_H_
#define GG_HTTP_CALLER_CONNECTION_H_

#include <string>

#include "gg_core/time.h"
#include "gg_http/caller_memory.h"
#include "gg_http/http_types.h"

namespace greengage {

/** One connection from a caller, with the bytes read from it that no request
    has consumed. Used on its io_context's thread only. */
struct CallerConnection {
  explicit CallerConnection(asio::ip::tcp::socket socket,
                            MemoryBudget* memory_budget = nullptr)
      : stream(std::move(socket)), memory(memory_budget) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  std::string address;       // "ip:port"
  uint32_t client_ipv4 = 0;  // host byte order; 0 for an IPv6 caller
  bool is_idle = false;      // waiting for the next request
  TimePoint idle_since{};
  CallerMemory memory;
};

/** Result of handling one request. */
struct HandlerResult {
  /** True if the connection may carry another request. */
  bool keep_alive = false;
};

/** Timeout of one read from or one write to a caller, while its request is
    handled. */
inline constexpr Duration kCallerIoTimeout = std::chrono::seconds(60);

/** Writes a whole message to the caller, and records its progress. */
template <typename Serializer>
asio::awaitable<ErrorCode> WriteToCaller(CallerConnection* caller,
                                         Serializer* serializer) {
  caller->memory.BeginTransfer(PeerActivity::kSending,
                               std::chrono::steady_clock::now());
  ErrorCode error;
  while (!error && !serializer->is_done()) {
    caller->stream.expires_after(kCallerIoTimeout);
    const size_t count = co_await http::async_write_some(
        caller->stream, *serializer, Await(&error));
    caller->memory.progress.Record(count, std::chrono::steady_clock::now());
  }
  caller->memory.EndTransfer();
  if (error == http::error::need_buffer) error = {};
  co_return error;
}

}  // namespace greengage

#endif  // GG_HTTP_CALLER_CONNECTION_H_
