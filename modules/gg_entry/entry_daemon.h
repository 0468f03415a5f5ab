#ifndef GG_ENTRY_ENTRY_DAEMON_H_
#define GG_ENTRY_ENTRY_DAEMON_H_

#include <memory>

#include "absl/status/status.h"
#include "gg_entry/entry_platform.h"
#include "gg_fleet/member_registry.h"

namespace greengage {

/** The daemon of an entry host: answers look-ups, forwards requests, and stops
    without cutting any. */
class EntryDaemon {
 public:
  struct Options {
    /** Daemons above which those of a zone hear of the store's changes from one
        of them; see MemberRegistry::Options. */
    size_t relay_above = MemberRegistry::Options{}.max_members_without_relay;
  };

  EntryDaemon(EntrySettings settings, EntryPlatform platform, Options options);
  ~EntryDaemon();
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  /** Serves until SIGTERM or SIGINT and the end of what runs then. */
  absl::Status Run();

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace greengage

#endif  // GG_ENTRY_ENTRY_DAEMON_H_
