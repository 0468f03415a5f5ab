#include "gg_entry/change_relay.h"

#include "entry/entry_fixtures.h"
#include "gg_entry/relayed_watch.h"
#include "gg_wire/change_relay_codec.h"
#include "gg_wire/frame_codec.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

KeyValueReadResult Change(const std::string& key, uint64_t revision) {
  return {.items = {{key, "value of " + key, revision}},
          .store_revision = revision};
}

TEST_GROUP(ChangeHistory) {
  ChangeHistory history{ChangeHistory::Options{.max_bytes = 100}};
};

TEST(ChangeHistory, BeforeTheFirstRead_ReturnsNoChanges) {
  history.Add(Change("a", 5));
  CHECK_FALSE(history.ChangesAfter({.revision = 5}).has_value());
}

TEST(ChangeHistory, ChangesAfterARevision_AreReturnedInOrder) {
  history.Reset({.revision = 10});
  history.Add(Change("a", 11));
  history.Add(Change("b", 12));
  LONGS_EQUAL(2, history.ChangesAfter({.revision = 10})->items.size());
  const KeyValueReadResult changes = *history.ChangesAfter({.revision = 11});
  LONGS_EQUAL(1, changes.items.size());
  STRCMP_EQUAL("b", changes.items[0].key.c_str());
  LONGS_EQUAL(12, changes.store_revision);
  LONGS_EQUAL(0, history.ChangesAfter({.revision = 12})->items.size());
}

TEST(ChangeHistory, DroppedChanges_AreNotReportedAsAnEmptyResult) {
  history.Reset({.revision = 10});
  for (uint64_t i = 11; i < 40; ++i) history.Add(Change("key", i));
  CHECK_FALSE(history.ChangesAfter({.revision = 10}).has_value());
  CHECK_FALSE(history.ChangesAfter({.revision = 20}).has_value());
  CHECK_TRUE(history.ChangesAfter({.revision = 39}).has_value());
  CHECK_TRUE(history.ChangesAfter({.revision = 37}).has_value());
}

TEST(ChangeHistory, PositionOfAnotherEra_ReturnsNoChanges) {
  history.Reset({.era = 2, .revision = 10});
  CHECK_TRUE(history.ChangesAfter({.era = 2, .revision = 12}).has_value());
  CHECK_FALSE(history.ChangesAfter({.era = 1, .revision = 12}).has_value());
  CHECK_FALSE(history.ChangesAfter({.era = 3, .revision = 12}).has_value());
}

TEST_GROUP(ChangeRelayCodec){};

TEST(ChangeRelayCodec, DeletedAndEmptyValues_AreDistinct) {
  KeyValueReadResult read{
      .items = {{"gone", std::nullopt, 7}, {"empty", "", 8}},
      .store_revision = 9};
  const std::string bytes = EncodeRelayedChanges(read);
  const auto decoded = DecodeRelayedChanges(
      std::string_view(bytes).substr(kFramePrefixBytes), "peer");
  CHECK_TRUE(decoded.ok());
  CHECK_FALSE(decoded->items[0].value.has_value());
  CHECK_TRUE(decoded->items[1].value.has_value());
  LONGS_EQUAL(9, decoded->store_revision);
  CHECK_TRUE(decoded->is_relayed);
}

TEST(ChangeRelayCodec, BrokenFrames_AreRefused) {
  const std::string bytes = EncodeRelayedChanges(Change("key", 7));
  const std::string frame = bytes.substr(kFramePrefixBytes);
  CHECK_FALSE(DecodeRelayRequest(frame, "peer").ok());
  for (size_t length = 0; length < frame.size() / 2; ++length) {
    CHECK_FALSE(DecodeRelayedChanges(frame.substr(0, length), "peer").ok());
  }
}

TEST_GROUP(MemberRelay) {
  MemberRegistry Registry(const std::string& self,
                          size_t max_members_without_relay) {
    return MemberRegistry(
        {.self = MakeMember(self),
         .max_members_without_relay = max_members_without_relay});
  }
  void ReceiveHeartbeat(MemberRegistry * registry, const std::string& name,
                        bool is_store_reachable) {
    registry->Put(MakeMember(name), At(0));
    registry->RecordHeartbeat(
        {.name = name, .incarnation = 7, .store_reachable = is_store_reachable},
        At(0));
  }
  const std::vector<std::string> names{"a", "b", "c", "d"};
};

TEST(MemberRelay, DaemonsOfAZone_ShareOneRelayThatWatchesTheStore) {
  std::set<std::string> relays;
  int watchers = 0;
  for (const std::string& self : names) {
    MemberRegistry registry = Registry(self, 3);
    for (const std::string& other : names) {
      if (other != self) ReceiveHeartbeat(&registry, other, true);
    }
    const std::string relay = registry.RelayAddress(At(0.5));
    if (relay.empty()) ++watchers;
    if (!relay.empty()) relays.insert(relay);
  }
  LONGS_EQUAL(1, watchers);
  LONGS_EQUAL(1, relays.size());
}

// Replays grown Gantnet's hunt-a329-3: a relay with a link of 10 Mbit/s took
// seconds to send a large configuration to the daemons of its zone.
TEST(MemberRelay, HostWithTheFastestLink_IsUsedAsRelay) {
  for (const std::string& fastest : names) {
    for (const std::string& self : names) {
      Member own = MakeMember(self);
      own.link_mbps = self == fastest ? 200 : 10;
      MemberRegistry registry({.self = own, .max_members_without_relay = 3});
      for (const std::string& other : names) {
        if (other == self) continue;
        ReceiveHeartbeat(&registry, other, true);
        Member member = MakeMember(other);
        member.link_mbps = other == fastest ? 200 : 10;
        registry.Put(member, At(0));
      }
      const std::string expected =
          self == fastest ? "" : MakeMember(fastest).peer_address;
      STRCMP_EQUAL(expected.c_str(), registry.RelayAddress(At(0.5)).c_str());
    }
  }
}

TEST(MemberRelay, DaemonWithoutStoreOrHeartbeats_IsNotUsedAsRelay) {
  for (const std::string& self : names) {
    MemberRegistry registry = Registry(self, 3);
    for (const std::string& other : names) {
      if (other != self) ReceiveHeartbeat(&registry, other, false);
    }
    STRCMP_EQUAL("", registry.RelayAddress(At(0.5)).c_str());
    for (const std::string& other : names) {
      if (other != self) ReceiveHeartbeat(&registry, other, true);
    }
    STRCMP_EQUAL("", registry.RelayAddress(At(5)).c_str());
  }
}

TEST(MemberRelay, SmallFleet_WatchesTheStore) {
  MemberRegistry registry = Registry("a", 24);
  for (const std::string name : {"b", "c", "d"})
    ReceiveHeartbeat(&registry, name, true);
  STRCMP_EQUAL("", registry.RelayAddress(At(0.5)).c_str());
}

/** A relay and one subscriber on loopback. */
TEST_GROUP(ChangeRelay) {
  static constexpr uint16_t kPort = 17911;
  asio::io_context io;
  int store_watches = 0;
  bool is_watch_cancelled = false;
  std::unique_ptr<ChangeRelay> relay;
  std::unique_ptr<RelayedWatch> watch;
  std::vector<absl::StatusOr<KeyValueReadResult>> results;

  void setup() override {
    relay = std::make_unique<ChangeRelay>(
        &io, ChangeRelay::Options{.ip = "127.0.0.1", .port = kPort});
    CHECK_TRUE(relay->Start().ok());
    KeyValueStore store;
    store.watch = [this](StorePosition, Duration)
        -> asio::awaitable<absl::StatusOr<KeyValueReadResult>> {
      ++store_watches;
      co_return KeyValueReadResult{.store_revision = 99};
    };
    store.cancel_watch = [this] { is_watch_cancelled = true; };
    watch = std::make_unique<RelayedWatch>(&io, RelayedWatch::Options{}, store);
    watch->SetRelayAddress(absl::StrCat("127.0.0.1:", kPort));
  }

  void Watch(uint64_t after, uint64_t era = 0) {
    asio::co_spawn(
        io,
        [this, after, era]() -> asio::awaitable<void> {
          results.push_back(co_await watch->Watch(
              {.era = era, .revision = after}, std::chrono::seconds(1)));
        },
        asio::detached);
  }
  void RunFor(int milliseconds) {
    io.restart();
    io.run_for(std::chrono::milliseconds(milliseconds));
  }
};

TEST(ChangeRelay, Changes_ArriveWithoutAStoreCall) {
  relay->Reset({.revision = 10});
  relay->Publish(Change("missed", 11));
  Watch(10);
  RunFor(100);
  LONGS_EQUAL(1, results.size());
  STRCMP_EQUAL("missed", results[0]->items.at(0).key.c_str());
  CHECK_TRUE(results[0]->is_relayed);
  Watch(11);
  RunFor(50);
  LONGS_EQUAL(1, results.size());
  relay->Publish(Change("later", 12));
  RunFor(50);
  LONGS_EQUAL(2, results.size());
  STRCMP_EQUAL("later", results[1]->items.at(0).key.c_str());
  LONGS_EQUAL(0, store_watches);
}

TEST(ChangeRelay, DroppedHistory_IsReadFromTheStore) {
  relay->Reset({.revision = 10});
  Watch(5);
  RunFor(100);
  LONGS_EQUAL(1, store_watches);
  LONGS_EQUAL(99, results.at(0)->store_revision);
}

// A daemon that knows of a restore must not get the history before it, nor one
// that does not know of it the history after it.
TEST(ChangeRelay, SubscriberOfAnotherEra_ReadsFromTheStore) {
  relay->Reset({.era = 2, .revision = 10});
  Watch(10, 1);
  RunFor(100);
  LONGS_EQUAL(1, store_watches);
  watch = std::make_unique<RelayedWatch>(&io, RelayedWatch::Options{},
                                         KeyValueStore{});
  watch->SetRelayAddress(absl::StrCat("127.0.0.1:", kPort));
  Watch(10, 2);
  RunFor(50);
  KeyValueReadResult change = Change("later", 12);
  change.era = 2;
  relay->Publish(change);
  RunFor(50);
  LONGS_EQUAL(2, results.size());
  LONGS_EQUAL(2, results[1]->era);
}

TEST(ChangeRelay, LostConnection_SwitchesToTheStoreForAWhile) {
  relay->Reset({.revision = 10});
  Watch(10);
  RunFor(50);
  relay->Reset({.revision = 20});  // disconnects all subscribers
  RunFor(50);
  LONGS_EQUAL(1, store_watches);
  Watch(10);
  RunFor(50);
  LONGS_EQUAL(2, store_watches);
}

// A relay that is frozen or cut off from the network sends nothing, and its
// connection does not fail. The watch is cancelled when other daemons report
// newer changes.
TEST(ChangeRelay, SilentRelay_IsDisconnectedWhenTheWatchIsCancelled) {
  relay->Reset({.revision = 10});
  Watch(10);
  RunFor(50);
  watch->CancelWatch();
  RunFor(50);
  LONGS_EQUAL(1, store_watches);
  CHECK_FALSE(is_watch_cancelled);
  LONGS_EQUAL(0, relay->subscriber_count());
}

TEST(ChangeRelay, ReplacedRelay_IsDisconnected) {
  relay->Reset({.revision = 10});
  Watch(10);
  RunFor(50);
  watch->SetRelayAddress("");
  RunFor(50);
  LONGS_EQUAL(1, store_watches);
}

TEST(ChangeRelay, GarbageFromASubscriber_ClosesOnlyItsConnection) {
  relay->Reset({.revision = 10});
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::make_address("127.0.0.1"), kPort});
  const std::string garbage = "GET / HTTP/1.1\r\n\r\n";
  socket.send(asio::buffer(garbage));
  RunFor(50);
  LONGS_EQUAL(0, relay->subscriber_count());
  Watch(10);
  RunFor(50);
  LONGS_EQUAL(1, relay->subscriber_count());
}

}  // namespace
}  // namespace greengage
