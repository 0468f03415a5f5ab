#ifndef GG_ENTRY_IDLE_CONNECTION_POOL_H_
#define GG_ENTRY_IDLE_CONNECTION_POOL_H_

#include <map>
#include <string>
#include <vector>

#include "gg_entry/pooled_connection.h"

namespace greengage {

/** Idle connections to targets. They are kept by the target's identifier and
    incarnation, because another target may take over an address. May be used on
    its io_context's thread only. */
class IdleConnectionPool {
 public:
  /** Removes and returns a connection that is open, has no unread input and is
      not close to the target's keep-alive timeout; nullptr if there is none.
      @param key  identifier and incarnation of the target; see
        TargetStatus::key. */
  PooledConnectionPtr Take(const std::string& key, TimePoint now);

  /** Returns a connection to the pool after a complete request and response.
      @param keep_alive_timeout  how long the target keeps it open while
        idle. */
  void Put(const std::string& key, PooledConnectionPtr connection,
           Duration keep_alive_timeout, TimePoint now);

  /** Closes all idle connections to a target. */
  void CloseAll(const std::string& key) { idle_.erase(key); }

  /** Closes connections that are close to the target's keep-alive timeout. */
  void CloseExpired(TimePoint now);

 private:
  std::map<std::string, std::vector<PooledConnectionPtr>> idle_;
};

}  // namespace greengage

#endif  // GG_ENTRY_IDLE_CONNECTION_POOL_H_
