#include "gg_entry/idle_connection_pool.h"

namespace greengage {
namespace {

/** Part of the target's idle limit that is used; the rest is for the way of a
    request and for timers of the target that fire early. */
constexpr double kUsableIdleFraction = 0.7;

/** Idle connections to one target; more than its usual slots are not needed. */
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
    if (now < connection->usable_until && IsQuiet(connection->socket)) {
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
