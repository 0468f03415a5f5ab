#include "gg_entry/store_sync.h"

#include "entry/entry_fixtures.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

/** Follows a store made of hooks, in real time on the test's thread. */
TEST_GROUP(StoreSync) {
  asio::io_context io;
  std::vector<FleetEvent> events;
  int watches = 0;
  int relayed = 0;  // watches that return at once with another daemon's word
  int reads = 0;
  bool is_down = false;
  asio::steady_timer waiting{io};  // the watch that waits
  std::unique_ptr<StoreSync> sync;

  asio::awaitable<absl::StatusOr<KeyValueReadResult>> Watch() {
    ++watches;
    if (relayed > 0) {
      --relayed;
      co_return KeyValueReadResult{.items = {{"key", "value", 30}},
                                   .store_revision = 30,
                                   .is_relayed = true};
    }
    if (is_down) co_return absl::UnavailableError("down");
    ErrorCode error;
    waiting.expires_after(std::chrono::seconds(60));
    co_await waiting.async_wait(Await(&error));
    co_return absl::CancelledError("broken off");
  }

  KeyValueStore Hooks() {
    return {
        .read_page = [this](std::string)
            -> asio::awaitable<absl::StatusOr<KeyValueReadResult>> {
          ++reads;
          if (is_down) co_return absl::UnavailableError("down");
          co_return KeyValueReadResult{.store_revision = 20};
        },
        .watch = [this](uint64_t, Duration) { return Watch(); },
        .cancel_watch = [this] { waiting.cancel(); },
        .put_member = [](Member, uint64_t) -> asio::awaitable<absl::Status> {
          co_return absl::OkStatus();
        },
        .grant_lease =
            [this](Duration) -> asio::awaitable<absl::StatusOr<uint64_t>> {
          if (is_down) co_return absl::UnavailableError("down");
          co_return uint64_t{1};
        },
        .renew_lease = [this](uint64_t) -> asio::awaitable<absl::Status> {
          if (is_down) co_return absl::UnavailableError("down");
          co_return absl::OkStatus();
        },
        .end_lease = [](uint64_t) -> asio::awaitable<absl::Status> {
          co_return absl::OkStatus();
        }};
  }

  void Start() {
    sync = std::make_unique<StoreSync>(
        &io, Hooks(),
        [](const std::string&, const std::optional<std::string>&) {
          return std::optional<FleetEvent>();
        },
        StoreSync::Options{.self = MakeMember("self")},
        StoreSync::Hooks{.on_event = [this](FleetEvent event) {
          events.push_back(std::move(event));
        }});
    sync->Start();
  }

  /** Lets time pass, with a tick every 50 ms. */
  void RunFor(Duration duration) {
    const TimePoint end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) {
      io.run_for(std::chrono::milliseconds(50));
      sync->Tick(std::chrono::steady_clock::now());
    }
  }

  int Unreachable() const {
    int count = 0;
    for (const FleetEvent& event : events) {
      const auto* reachable = std::get_if<StoreReachabilityChanged>(&event);
      if (reachable != nullptr && !reachable->is_reachable) ++count;
    }
    return count;
  }
};

TEST(StoreSync, ChangeThatOthersSaw_BreaksOffASilentWatchOnce) {
  Start();
  RunFor(std::chrono::milliseconds(200));
  LONGS_EQUAL(1, watches);
  sync->NoteRevision(25);
  RunFor(std::chrono::milliseconds(1400));
  LONGS_EQUAL(2, watches);
  RunFor(std::chrono::milliseconds(1400));
  LONGS_EQUAL(2, watches);
}

// Replays Gantnet's scale-2, seed 241109170082: a watch that was broken off
// counted as a store that does not answer, which delayed the next one.
TEST(StoreSync, WatchBrokenOff_IsNoTroubleOfTheStore) {
  Start();
  RunFor(std::chrono::milliseconds(200));
  sync->NoteRevision(25);
  RunFor(std::chrono::milliseconds(1400));
  LONGS_EQUAL(0, Unreachable());
}

// Another daemon's word comes gathered already, and does not tell whether the
// store answers this one.
TEST(StoreSync, RelayedChanges_AreTakenAtOnceAndSayNothingOfTheStore) {
  is_down = true;
  Start();
  RunFor(std::chrono::milliseconds(100));
  LONGS_EQUAL(0, watches);
  is_down = false;
  relayed = 5;
  RunFor(std::chrono::milliseconds(900));
  LONGS_EQUAL(0, relayed);
  is_down = true;
  RunFor(std::chrono::milliseconds(1500));
  CHECK_TRUE(Unreachable() > 0);
}

TEST(StoreSync, WatchOfAnOutage_IsBrokenOffAtTheFirstAnswer) {
  Start();
  RunFor(std::chrono::milliseconds(200));
  is_down = true;
  RunFor(std::chrono::seconds(2));
  CHECK_TRUE(Unreachable() > 0);
  const int before = watches;
  is_down = false;
  RunFor(std::chrono::milliseconds(1400));
  CHECK_TRUE(watches > before);
}

TEST(StoreSync, Outage_IsFollowedByPausesNotByAStorm) {
  is_down = true;
  Start();
  RunFor(std::chrono::seconds(2));
  CHECK_TRUE(reads <= 12);
}

}  // namespace
}  // namespace greengage
