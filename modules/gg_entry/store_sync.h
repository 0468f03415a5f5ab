#ifndef GG_ENTRY_STORE_SYNC_H_
#define GG_ENTRY_STORE_SYNC_H_

#include <functional>
#include <map>
#include <string>

#include "gg_core/random.h"
#include "gg_entry/entry_platform.h"

namespace greengage {

/** Keeps this daemon in sync with the store: reads all items, then watches for
    changes. Also registers the daemon in the store under a lease.

    When the store was restored from an older copy, everything is read again, as
    revisions, watches and leases of the era before mean nothing any more. The
    restore shows in the era that every response names, and in other daemons'
    heartbeats.

    The store charges for calls and limits their rate. Therefore changes in
    quick succession are read with one call, and failures are followed by an
    exponential backoff with jitter. May be used on its io_context's thread
    only. */
class StoreSync {
 public:
  struct Options {
    Member self;
    uint64_t seed = 1;
    /** How long the store may hold a watch open. It is long, because every
        watch that returns costs a call. A broken connection is detected
        earlier: by a lease renewal that gets no response, or by a change that
        another daemon has seen. */
    Duration watch_timeout = std::chrono::seconds(15);
    /** How much later than another daemon this one may see a change before its
        watch is considered broken. It is longer than `batch_delay` and about a
        third of the operators' limit for a change (2.5 s). */
    Duration max_watch_lag = std::chrono::milliseconds(900);
    /** Delay after a change before the next watch, so that closely following
        changes arrive with one call. It is about a sixth of the operators'
        limit for a change (2.5 s). */
    Duration batch_delay = std::chrono::milliseconds(400);
    /** How long this daemon's entry outlasts its last renewal. */
    Duration lease_ttl = std::chrono::seconds(4);
    /** A third of `lease_ttl`, so that the lease survives two failed
        renewals. */
    Duration renew_interval = std::chrono::milliseconds(1300);
    /** Base of the exponential backoff after failed calls, before jitter. */
    Duration initial_backoff = std::chrono::milliseconds(100);
    Duration max_backoff = std::chrono::milliseconds(600);
    /** How long reads and watches wait at most for a lease renewal to show that
        the store responds again. A renewal costs a tenth of a read. */
    Duration max_recovery_wait = std::chrono::seconds(3);
  };

  struct Hooks {
    /** Receives the events of one response of the store, at least one: an event
        for every new or changed item, one after each full read, and one after
        every call that shows whether the store responds. */
    std::function<void(std::vector<FleetEvent> events)> on_events;
    /** Called after a full read of the store as of `position`. Optional. */
    std::function<void(StorePosition position)> on_full_read;
    /** Called with the changes that a watch returned. Optional. */
    std::function<void(const KeyValueReadResult& changes)> on_changes;
  };

  StoreSync(asio::io_context* context, KeyValueStore store,
            std::function<std::optional<FleetEvent>(
                const std::string&, const std::optional<std::string>&)>
                decode_item,
            Options options, Hooks hooks);

  //==============================================================================
  /** Starts to follow the store and registers this daemon. */
  void Start();

  /** Revokes the lease, which removes this daemon's entry from the store. */
  void Deregister();

  /** Records that another daemon has seen a change at this position. */
  void NotePeerPosition(StorePosition position);

  /** Cancels a watch that has missed a change. Called every tick. */
  void Tick(TimePoint now);

  /** Position of the newest item that was seen. This is not the position of the
      store, which also advances without relevant changes. */
  StorePosition newest_position() const { return newest_position_; }

 private:
  asio::awaitable<void> FollowStore();
  asio::awaitable<bool> ReadAll();
  asio::awaitable<void> WatchUntilHistoryLost();
  asio::awaitable<void> Register();
  asio::awaitable<void> RevokeLease();
  /** Registers this daemon under a new lease. */
  asio::awaitable<absl::Status> RegisterAnew();
  /** Renews the lease, or gives it up when it is known to be lost. */
  asio::awaitable<absl::Status> RenewLease();
  /** Forgets the lease, so that this daemon registers again. */
  void GiveUpLease(const std::string& reason);
  /** Passes the new and changed ones among `items` on.
      @param era       of the items' revisions.
      @param snapshot  receives what the items list; may be nullptr. */
  void Deliver(const std::vector<KeyValueItem>& items, uint64_t era,
               SnapshotComplete* snapshot);
  /** Returns the newest era that the store or another daemon named. */
  uint64_t NewestEra() const;
  /** Returns whether the store was restored since it was last read. */
  bool IsRestored() const;
  asio::awaitable<void> WaitForStore(int failures);
  void ReportReachability(const absl::Status& status);
  Duration Backoff(int failures);

  asio::io_context* context_;  // not owned
  KeyValueStore store_;
  std::function<std::optional<FleetEvent>(const std::string&,
                                          const std::optional<std::string>&)>
      decode_item_;
  Options options_;
  Hooks hooks_;
  Random random_;
  StorePosition watched_position_;  // watches report the changes after it
  std::map<std::string, StorePosition> delivered_positions_;  // newest, by key
  /** Newest era that was known at the start of the last full read. */
  uint64_t era_at_last_read_ = 0;
  uint64_t lease_ = 0;      // 0: none
  uint64_t lease_era_ = 0;  // in which it was granted
  bool is_reachable_ = false;
  StorePosition newest_position_;
  StorePosition peer_position_;          // newest that another daemon has seen
  StorePosition cancelled_at_position_;  // peer_position_ at the last cancel
  /** When another daemon was first seen to have a newer position. */
  std::optional<TimePoint> behind_since_;
  TimePoint watch_began_at_{};
  bool is_leaving_ = false;
};

}  // namespace greengage

#endif  // GG_ENTRY_STORE_SYNC_H_
