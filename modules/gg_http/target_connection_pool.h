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

/** One connection to a target, or to a peer's traffic address. */
struct TargetConnection {
  explicit TargetConnection(const asio::any_io_executor& executor)
      : stream(executor) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::string address;
  TimePoint idle_since{};
};

using TargetConnectionPtr = std::unique_ptr<TargetConnection>;

/** Idle connections to targets, for one io_context.

    A connection comes back only after a whole exchange; after a cancel, a
   time-out or any error it is destroyed instead, so that a late answer can
   never meet another request. Used on its io_context's thread only. */
class TargetConnectionPool {
 public:
  struct Options {
    size_t max_idle_connections_per_target = 32;
    Duration max_idle_time = std::chrono::seconds(20);
    Duration connect_timeout = std::chrono::seconds(1);
  };

  explicit TargetConnectionPool(Options options) : options_(options) {}

  //==============================================================================
  /** Returns an idle connection that is still open, or nullptr. */
  TargetConnectionPtr TakeIdle(const std::string& address, TimePoint now);

  /** Opens a new connection. kUnavailable when that fails: no byte was sent. */
  asio::awaitable<absl::StatusOr<TargetConnectionPtr>> Connect(
      std::string address);

  /** Takes back a connection after a whole exchange. */
  void ReturnConnection(TargetConnectionPtr connection, TimePoint now);

 private:
  Options options_;
  std::map<std::string, std::vector<TargetConnectionPtr>> idle_connections_;
};

}  // namespace greengage

#endif  // GG_HTTP_TARGET_CONNECTION_POOL_H_
