#ifndef GG_ENTRY_ENTRY_DAEMON_H_
#define GG_ENTRY_ENTRY_DAEMON_H_

#include <memory>

#include "absl/status/status.h"
#include "gg_entry/entry_platform.h"
#include "gg_fleet/member_registry.h"

namespace greengage {

/** The daemon of an entry host: answers lookups, forwards requests to targets,
    and completes running requests before it stops. */
class EntryDaemon {
 public:
  struct Options {
    /** Number of daemons above which one daemon of a zone relays the store's
        changes to the others; see MemberRegistry::Options. */
    size_t relay_above = MemberRegistry::Options{}.max_members_without_relay;
  };

  EntryDaemon(EntrySettings settings, EntryPlatform platform, Options options);
  ~EntryDaemon();
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  /** Serves until SIGTERM or SIGINT, then until the running requests have ended
      or the stop's grace period is nearly over.
      @return an error that names the address when one can't be bound. */
  absl::Status Run();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace greengage

#endif  // GG_ENTRY_ENTRY_DAEMON_H_
