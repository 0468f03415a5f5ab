#ifndef GG_HTTP_TARGET_CONNECTION_POOL_H_
#define GG_HTTP_TARGET_CONNECTION_POOL_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "gg_core/time.h"
#include "gg_http/http_types.h"

namespace greengage {

/** One connection to a target or to the traffic address of a peer. */
struct TargetConnection {
  explicit TargetConnection(const asio::any_io_executor& executor)
      : stream(executor) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  std::string address;
  TimePoint idle_since{};
};

using TargetConnectionPtr = std::unique_ptr<TargetConnection>;

/** Pool of idle connections to targets, for one io_context.

    A connection may be returned only after a complete exchange. After a
    cancellation, a timeout or any error it must be destroyed instead, so that a
    late response is never taken for the response to another request.

    Used on its io_context's thread only. */
class TargetConnectionPool {
 public:
  struct Options {
    size_t max_idle_connections_per_target = 32;
    Duration max_idle_time = std::chrono::seconds(20);
    Duration connect_timeout = std::chrono::seconds(1);
  };

  explicit TargetConnectionPool(Options options) : options_(options) {}

  //==============================================================================
  /** Takes an idle connection to `address` that the target has neither closed
      nor sent anything on; returns nullptr if there is none. */
  TargetConnectionPtr TakeIdle(const std::string& address, TimePoint now);

  /** Opens a new connection.
      @return kUnavailable on failure; no byte was sent then. */
  asio::awaitable<absl::StatusOr<TargetConnectionPtr>> Connect(
      std::string address);

  /** Returns a connection to the pool after a complete exchange. The connection
      is closed if the pool is full. */
  void ReturnConnection(TargetConnectionPtr connection, TimePoint now);

 private:
  Options options_;
  std::map<std::string, std::vector<TargetConnectionPtr>> idle_connections_;
};

}  // namespace greengage

#endif  // GG_HTTP_TARGET_CONNECTION_POOL_H_
