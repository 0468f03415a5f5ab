#include "gg_entry/store_sync.h"

#include "entry/entry_fixtures.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

/** Runs a StoreSync in real time on the test's thread. The store is simulated
    by its hooks. */
TEST_GROUP(StoreSync) {
  asio::io_context io;
  std::vector<FleetEvent> events;
  int batch_count = 0;  // of the events
  /** Number of items that a full read of the store returns. */
  int stored_items = 0;
  int watch_calls = 0;
  /** Watches that still return at once with changes of a relay. */
  int relayed_watches_left = 0;
  int read_calls = 0;
  bool is_store_down = false;
  uint64_t era = 1;
  uint64_t first_revision = 10;  // of the items, which follow each other
  bool has_named_era = false;
  uint64_t last_lease = 0;
  std::vector<uint64_t> renewed_leases;
  bool is_response_arriving = false;  // of the pending watch
  /** Expires, or is cancelled, when a pending watch ends. */
  asio::steady_timer watch_timer{io};
  std::unique_ptr<StoreSync> sync;

  asio::awaitable<absl::StatusOr<KeyValueReadResult>> Watch() {
    ++watch_calls;
    if (relayed_watches_left > 0) {
      --relayed_watches_left;
      co_return KeyValueReadResult{.items = {{"key", "value", 30}},
                                   .store_revision = 30,
                                   .is_relayed = true};
    }
    if (is_store_down) co_return absl::UnavailableError("down");
    ErrorCode error;
    watch_timer.expires_after(std::chrono::seconds(60));
    co_await watch_timer.async_wait(Await(&error));
    co_return absl::CancelledError("cancelled");
  }

  KeyValueStore StoreHooks() {
    return {
        .read_page = [this](std::string)
            -> asio::awaitable<absl::StatusOr<KeyValueReadResult>> {
          ++read_calls;
          if (is_store_down) co_return absl::UnavailableError("down");
          has_named_era = true;
          KeyValueReadResult page{.store_revision = 20, .era = era};
          for (int i = 0; i < stored_items; ++i) {
            page.items.push_back(
                {absl::StrCat("t-", i), "target", first_revision});
          }
          co_return page;
        },
        .watch = [this](StorePosition, Duration) { return Watch(); },
        .cancel_watch = [this] { watch_timer.cancel(); },
        .watch_progress_at =
            [this] {
              return is_response_arriving ? std::chrono::steady_clock::now()
                                          : TimePoint{};
            },
        .newest_era = [this] { return has_named_era ? era : 0; },
        .put_member = [](Member, uint64_t) -> asio::awaitable<absl::Status> {
          co_return absl::OkStatus();
        },
        .grant_lease =
            [this](Duration) -> asio::awaitable<absl::StatusOr<uint64_t>> {
          if (is_store_down) co_return absl::UnavailableError("down");
          has_named_era = true;
          co_return ++last_lease;
        },
        .renew_lease = [this](uint64_t lease) -> asio::awaitable<absl::Status> {
          if (is_store_down) co_return absl::UnavailableError("down");
          renewed_leases.push_back(lease);
          co_return absl::OkStatus();
        },
        .revoke_lease = [](uint64_t) -> asio::awaitable<absl::Status> {
          co_return absl::OkStatus();
        }};
  }

  void Start() {
    sync = std::make_unique<StoreSync>(
        &io, StoreHooks(),
        [](const std::string& key, const std::optional<std::string>& value)
            -> std::optional<FleetEvent> {
          if (value != "target") return std::nullopt;
          return TargetListed{MakeTarget(key, "north-a")};
        },
        StoreSync::Options{.self = MakeMember("self")},
        StoreSync::Hooks{.on_events = [this](std::vector<FleetEvent> batch) {
          ++batch_count;
          for (FleetEvent& event : batch) events.push_back(std::move(event));
        }});
    sync->Start();
  }

  /** Runs the event loop for `duration`, with a tick every 50 ms. */
  void RunFor(Duration duration) {
    const TimePoint end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) {
      io.run_for(std::chrono::milliseconds(50));
      sync->Tick(std::chrono::steady_clock::now());
    }
  }

  int CountUnreachableEvents() const {
    int count = 0;
    for (const FleetEvent& event : events) {
      const auto* reachable = std::get_if<StoreReachabilityChanged>(&event);
      if (reachable != nullptr && !reachable->is_reachable) ++count;
    }
    return count;
  }
};

TEST(StoreSync, ChangeSeenByPeers_CancelsASilentWatchOnce) {
  Start();
  RunFor(std::chrono::milliseconds(200));
  LONGS_EQUAL(1, watch_calls);
  sync->NotePeerPosition({.revision = 25});
  RunFor(std::chrono::milliseconds(1400));
  LONGS_EQUAL(2, watch_calls);
  RunFor(std::chrono::milliseconds(1400));
  LONGS_EQUAL(2, watch_calls);
}

// Replays grown Gantnet's hunt-a329-3: a host with a slow link broke off the
// responses with large configurations one after the other, and missed that a
// target had left.
TEST(StoreSync, WatchWhoseResponseIsStillArriving_IsNotCancelled) {
  Start();
  RunFor(std::chrono::milliseconds(200));
  is_response_arriving = true;
  sync->NotePeerPosition({.revision = 25});
  RunFor(std::chrono::milliseconds(1400));
  LONGS_EQUAL(1, watch_calls);
  is_response_arriving = false;
  RunFor(std::chrono::milliseconds(1400));
  LONGS_EQUAL(2, watch_calls);
}

// Replays Gantnet's scale-2, seed 241109170082: a cancelled watch was reported
// as an unreachable store, which delayed the next watch.
TEST(StoreSync, CancelledWatch_DoesNotMarkTheStoreUnreachable) {
  Start();
  RunFor(std::chrono::milliseconds(200));
  sync->NotePeerPosition({.revision = 25});
  RunFor(std::chrono::milliseconds(1400));
  LONGS_EQUAL(0, CountUnreachableEvents());
}

// The relay has already batched its changes, so they need no further delay.
// They don't show whether the store responds to this daemon.
TEST(StoreSync,
     RelayedChanges_AreAppliedWithoutDelayAndLeaveReachabilityUnchanged) {
  is_store_down = true;
  Start();
  RunFor(std::chrono::milliseconds(100));
  LONGS_EQUAL(0, watch_calls);
  is_store_down = false;
  relayed_watches_left = 5;
  RunFor(std::chrono::milliseconds(900));
  LONGS_EQUAL(0, relayed_watches_left);
  is_store_down = true;
  RunFor(std::chrono::milliseconds(1500));
  CHECK_TRUE(CountUnreachableEvents() > 0);
}

// Every batch makes the daemon rebuild its view of the fleet.
TEST(StoreSync, ItemsOfOneResponse_ArriveInOneBatch) {
  stored_items = 100;
  Start();
  RunFor(std::chrono::milliseconds(100));
  CHECK_TRUE(events.size() > 100);
  // The items, the end of the snapshot, and the store's reachability after the
  // read and after the registration.
  CHECK_TRUE(batch_count <= 5);
}

TEST(StoreSync, WatchStartedDuringAnOutage_IsCancelledAtTheFirstResponse) {
  Start();
  RunFor(std::chrono::milliseconds(200));
  is_store_down = true;
  RunFor(std::chrono::seconds(2));
  CHECK_TRUE(CountUnreachableEvents() > 0);
  const int watch_calls_before = watch_calls;
  is_store_down = false;
  RunFor(std::chrono::milliseconds(1400));
  CHECK_TRUE(watch_calls > watch_calls_before);
}

int CountListed(const std::vector<FleetEvent>& events) {
  return static_cast<int>(
      std::count_if(events.begin(), events.end(), [](const FleetEvent& event) {
        return std::holds_alternative<TargetListed>(event);
      }));
}

TEST(StoreSync, ItemsAfterARestore_AreDeliveredAtLowerRevisions) {
  stored_items = 3;
  Start();
  RunFor(std::chrono::milliseconds(200));
  LONGS_EQUAL(3, CountListed(events));
  // The restore shows in the response to a lease renewal.
  era = 2;
  first_revision = 5;
  RunFor(std::chrono::milliseconds(1600));
  LONGS_EQUAL(6, CountListed(events));
  LONGS_EQUAL(2, read_calls);
  LONGS_EQUAL(2, sync->newest_position().era);
}

// Its number may have been given to another daemon since.
TEST(StoreSync, LeaseOfAnOlderEra_IsNotRenewed) {
  Start();
  RunFor(std::chrono::milliseconds(200));
  LONGS_EQUAL(1, last_lease);
  era = 2;
  RunFor(std::chrono::milliseconds(3000));
  LONGS_EQUAL(2, last_lease);
  for (const uint64_t lease : renewed_leases) LONGS_EQUAL(2, lease);
  CHECK_TRUE(!renewed_leases.empty());
}

TEST(StoreSync, NewerEraAtPeers_IsReadOnce) {
  Start();
  RunFor(std::chrono::milliseconds(200));
  LONGS_EQUAL(1, read_calls);
  sync->NotePeerPosition({.era = 7, .revision = 1});
  RunFor(std::chrono::milliseconds(1000));
  LONGS_EQUAL(2, read_calls);
}

TEST(StoreSync, OlderEraAtPeers_ChangesNothing) {
  era = 2;
  Start();
  RunFor(std::chrono::milliseconds(200));
  sync->NotePeerPosition({.era = 1, .revision = 900});
  RunFor(std::chrono::milliseconds(1400));
  LONGS_EQUAL(1, read_calls);
  LONGS_EQUAL(1, watch_calls);
}

TEST(StoreSync, Outage_LimitsTheRateOfReads) {
  is_store_down = true;
  Start();
  RunFor(std::chrono::seconds(2));
  CHECK_TRUE(read_calls <= 12);
}

}  // namespace
}  // namespace greengage
