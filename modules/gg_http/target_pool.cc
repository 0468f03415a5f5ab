#include "gg_http/target_pool.h"

#include "gg_core/errors.h"

namespace greengage {

TargetConnectionPtr TargetPool::TakeIdle(const std::string& address,
                                         TimePoint now) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) return nullptr;
  std::vector<TargetConnectionPtr>& connections = found->second;
  while (!connections.empty()) {
    TargetConnectionPtr connection = std::move(connections.back());
    connections.pop_back();
    const bool is_fresh = now - connection->idle_since <= options_.max_idle;
    if (is_fresh && IsOpenAndIdle(connection->stream.socket()))
      return connection;
  }
  return nullptr;
}

asio::awaitable<absl::StatusOr<TargetConnectionPtr>> TargetPool::Connect(
    std::string address) {
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

void TargetPool::Put(TargetConnectionPtr connection, TimePoint now) {
  std::vector<TargetConnectionPtr>& connections = idle_[connection->address];
  if (connections.size() >= options_.max_idle_per_target) return;
  connection->stream.expires_never();
  connection->idle_since = now;
  connections.push_back(std::move(connection));
}

}  // namespace greengage
