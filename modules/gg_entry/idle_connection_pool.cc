#include "gg_entry/idle_connection_pool.h"

namespace greengage {
namespace {

/** Fraction of the target's keep-alive timeout that is used. The rest allows
    for the latency of a request and for timers of the target that fire
    early. */
constexpr double kUsableIdleFraction = 0.7;

/** Maximum number of idle connections to one target. A target rarely has more
    slots, so further connections would not be used. */
constexpr size_t kMaxIdlePerTarget = 16;

}  // namespace

PooledConnectionPtr IdleConnectionPool::Take(const std::string& key,
                                             TimePoint now) {
  const auto found = idle_.find(key);
  if (found == idle_.end()) return nullptr;
  std::vector<PooledConnectionPtr>& connections = found->second;
  while (!connections.empty()) {
    PooledConnectionPtr connection = std::move(connections.back());
    connections.pop_back();
    if (now < connection->usable_until && IsOpenAndIdle(connection->socket)) {
      return connection;
    }
  }
  return nullptr;
}

void IdleConnectionPool::Put(const std::string& key,
                             PooledConnectionPtr connection,
                             Duration keep_alive_timeout, TimePoint now) {
  std::vector<PooledConnectionPtr>& connections = idle_[key];
  if (connections.size() >= kMaxIdlePerTarget) return;
  connection->buffer.shrink_to_fit();  // nothing is unparsed
  connection->usable_until =
      now + FromSeconds(ToSeconds(keep_alive_timeout) * kUsableIdleFraction);
  connections.push_back(std::move(connection));
}

void IdleConnectionPool::CloseExpired(TimePoint now) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second, [&](const PooledConnectionPtr& connection) {
      return connection->usable_until <= now;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

}  // namespace greengage
