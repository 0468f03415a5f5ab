#ifndef GG_ENTRY_TARGET_LINK_POOL_H_
#define GG_ENTRY_TARGET_LINK_POOL_H_

#include <map>
#include <string>
#include <vector>

#include "gg_entry/target_link.h"

namespace greengage {

/** Idle connections to targets, by the run of a target (identifier and
    incarnation), because an address may pass to another target. Used on its
    io_context's thread only. */
class TargetLinkPool {
 public:
  /** Returns a connection that is open, silent and not close to the target's
     idle limit, or nullptr. */
  TargetLinkPtr Take(const std::string& key, TimePoint now);

  /** Takes back a connection after a whole exchange.
      @param idle_limit  how long the target keeps it open. */
  void Put(const std::string& key, TargetLinkPtr link, Duration idle_limit,
           TimePoint now);

  /** Closes all idle connections to a target. */
  void Drop(const std::string& key) { idle_.erase(key); }

  /** Closes those that have been idle for too long. */
  void Sweep(TimePoint now);

 private:
  std::map<std::string, std::vector<TargetLinkPtr>> idle_;
};

}  // namespace greengage

#endif  // GG_ENTRY_TARGET_LINK_POOL_H_
