#ifndef GG_ENTRY_STORE_SYNC_H_
#define GG_ENTRY_STORE_SYNC_H_

#include <functional>
#include <map>
#include <string>

#include "gg_core/random.h"
#include "gg_entry/entry_platform.h"

namespace greengage {

/** Follows the store: reads everything, then watches; and keeps this daemon's
    entry there under a lease.

    Calls are priced and limited, so that changes which come together are read
    together and failures are followed by growing, scattered pauses. Used on its
    io_context's thread only. */
class StoreSync {
 public:
  struct Options {
    Member self;
    uint64_t seed = 1;
    /** How long the store waits for a change. Long, because each return costs a
        call; a connection that fell silent is found out by a renewal that gets
       no answer or by a change that another daemon has seen. */
    Duration watch_wait = std::chrono::seconds(15);
    /** How much later than another daemon this one may see a change before its
        watch counts as silent. Above `gather`, a third of the operators'
       bounds.
      */
    Duration watch_lag = std::chrono::milliseconds(900);
    /** Pause after a change, so that those close after it come with the same
        call. A sixth of what operators allow for a change (2.5 s). */
    Duration gather = std::chrono::milliseconds(400);
    Duration lease_time = std::chrono::seconds(4);
    /** A third of the lease time, so that two renewals may fail. */
    Duration renew_interval = std::chrono::milliseconds(1300);
    Duration first_pause = std::chrono::milliseconds(100);
    Duration longest_pause = std::chrono::milliseconds(600);
    /** Longest time that following waits for a renewal to tell that the store
       is back; renewals cost a tenth of a read. */
    Duration longest_wait = std::chrono::seconds(3);
  };

  struct Hooks {
    /** Called with what was learnt. */
    std::function<void(FleetEvent event)> on_event;
    /** Everything was read as of this revision; may be left out. */
    std::function<void(uint64_t revision)> on_read;
    /** These changes came since; may be left out. */
    std::function<void(const KeyValueReadResult& changes)> on_changes;
  };

  StoreSync(asio::io_context* context, KeyValueStore store,
            std::function<std::optional<FleetEvent>(
                const std::string&, const std::optional<std::string>&)>
                decode_item,
            Options options, Hooks hooks);

  //==============================================================================
  /** Starts following and registering. */
  void Start();

  /** Takes this daemon's entry out of the store. */
  void Leave();

  /** Notes that another daemon has seen a change of this revision. */
  void NoteRevision(uint64_t revision);

  /** Breaks off a watch that has missed a change; called every tick. */
  void Tick(TimePoint now);

  /** Revision of the newest change that was seen: of an entry, not of the
     store, whose revision grows without changes as well. */
  uint64_t newest_revision() const { return newest_revision_; }

 private:
  asio::awaitable<void> Follow();
  asio::awaitable<bool> ReadAll();
  asio::awaitable<void> WatchOn();
  asio::awaitable<void> Register();
  asio::awaitable<void> EndLease();
  void Deliver(const KeyValueItem& item, SnapshotComplete* snapshot);
  asio::awaitable<void> WaitForStore(int failures);
  void Report(const absl::Status& status);
  Duration Pause(int failures);

  asio::io_context* context_;  // not owned
  KeyValueStore store_;
  std::function<std::optional<FleetEvent>(const std::string&,
                                          const std::optional<std::string>&)>
      decode_item_;
  Options options_;
  Hooks hooks_;
  Random random_;
  uint64_t cursor_ = 0;
  std::map<std::string, uint64_t> revisions_;  // by key, newest delivered
  uint64_t lease_ = 0;
  bool is_reachable_ = false;
  uint64_t newest_revision_ = 0;
  uint64_t peers_revision_ = 0;            // newest that others have seen
  uint64_t checked_revision_ = 0;          // for which the watch was broken off
  std::optional<TimePoint> behind_since_;  // of others
  TimePoint watch_began_{};
  bool is_leaving_ = false;
};

}  // namespace greengage

#endif  // GG_ENTRY_STORE_SYNC_H_
