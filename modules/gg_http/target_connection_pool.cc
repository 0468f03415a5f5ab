#include "gg_http/target_connection_pool.h"

#include "gg_core/errors.h"

namespace greengage {

TargetConnectionPtr TargetConnectionPool::TakeIdle(const std::string& address,
                                                   TimePoint now) {
  const auto found = idle_connections_.find(address);
  if (found == idle_connections_.end()) return nullptr;
  std::vector<TargetConnectionPtr>& connections = found->second;
  while (!connections.empty()) {
    TargetConnectionPtr connection = std::move(connections.back());
    connections.pop_back();
    const bool is_within_idle_time =
        now - connection->idle_since <= options_.max_idle_time;
    if (is_within_idle_time && IsOpenAndIdle(connection->stream.socket())) {
      return connection;
    }
  }
  return nullptr;
}

asio::awaitable<absl::StatusOr<TargetConnectionPtr>>
TargetConnectionPool::Connect(std::string address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    co_return StepError(absl::StatusCode::kUnavailable, Step::kForwardConnect,
                        address, "not an address");
  }
  auto connection =
      std::make_unique<TargetConnection>(co_await asio::this_coro::executor);
  connection->address = std::move(address);
  connection->stream.expires_after(options_.connect_timeout);
  ErrorCode error;
  co_await connection->stream.async_connect(*endpoint, Await(&error));
  if (error) {
    co_return StepError(absl::StatusCode::kUnavailable, Step::kForwardConnect,
                        connection->address, error.message());
  }
  connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  co_return connection;
}

void TargetConnectionPool::ReturnConnection(TargetConnectionPtr connection,
                                            TimePoint now) {
  std::vector<TargetConnectionPtr>& connections =
      idle_connections_[connection->address];
  if (connections.size() >= options_.max_idle_connections_per_target) return;
  connection->stream.expires_never();
  connection->buffer.shrink_to_fit();  // nothing is unparsed
  connection->idle_since = now;
  connections.push_back(std::move(connection));
}

}  // namespace greengage
