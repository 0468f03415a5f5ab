#ifndef GG_ENTRY_IDLE_CONNECTION_POOL_H_
#define GG_ENTRY_IDLE_CONNECTION_POOL_H_

#include <map>
#include <string>
#include <vector>

#include "gg_entry/pooled_connection.h"

namespace greengage {

/** Idle connections to targets, by the run of a target (identifier and
    incarnation), because an address may pass to another target. Used on its
    io_context's thread only. */
class IdleConnectionPool {
 public:
  /** Returns a connection that is open, silent and not close to the target's
     idle limit, or nullptr. */
  PooledConnectionPtr Take(const std::string& key, TimePoint now);

  /** Takes back a connection after a whole exchange.
      @param keep_alive_timeout  how long the target keeps it open. */
  void Put(const std::string& key, PooledConnectionPtr connection,
           Duration keep_alive_timeout, TimePoint now);

  /** Closes all idle connections to a target. */
  void CloseAll(const std::string& key) { idle_.erase(key); }

  /** Closes those that have been idle for too long. */
  void CloseExpired(TimePoint now);

 private:
  std::map<std::string, std::vector<PooledConnectionPtr>> idle_;
};

}  // namespace greengage

#endif  // GG_ENTRY_IDLE_CONNECTION_POOL_H_
