#include "gg_core/gg_core.h"
#include "gg_steering/gg_steering.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

TEST_GROUP(Overlay){};

TEST(Overlay, NeighboursAreSymmetricAndFew) {
  std::vector<OverlayNode> nodes;
  for (int i = 0; i < 870; ++i) {
    nodes.push_back({"10.0." + std::to_string(i / 250) + "." +
                         std::to_string(i % 250) + ":7000",
                     "zone-" + std::to_string(i % 11)});
  }
  std::map<std::string, std::set<std::string>> neighbours;
  for (const OverlayNode& node : nodes) {
    const auto list = OverlayNeighbours(nodes, node.address, {});
    neighbours[node.address] = {list.begin(), list.end()};
    CHECK_TRUE(list.size() >= 4 && list.size() <= 6);
  }
  for (const auto& [address, list] : neighbours) {
    for (const std::string& other : list) {
      CHECK_TRUE(neighbours[other].count(address) == 1);
    }
  }
}

TEST_GROUP(Lookup) {
  std::vector<MemberRecord> members;
  void setup() override {
    for (int i = 0; i < 10; ++i) {
      const std::string address = "10.0.0." + std::to_string(i);
      members.push_back({.id = {address + ":7000", 1},
                         .traffic_address = address + ":80",
                         .zone = "z",
                         .region = i < 5 ? "north" : "south"});
    }
  }
  std::vector<MemberRecord> LookUp(uint32_t client) {
    return ChooseEntryHosts(
        members, {.service = "shop", .client = client, .home_region = "north"});
  }
};

TEST(Lookup, HomeRegionComesFirst) {
  for (const MemberRecord& host : LookUp(0x0a010101)) {
    STRCMP_EQUAL("north", host.region.c_str());
  }
}

TEST(Lookup, LeavingAndSuspectHostsAreNotReturned) {
  members[0].state = MemberState::kLeaving;
  members[1].state = MemberState::kSuspect;
  for (uint32_t block = 0; block < 200; ++block) {
    for (const MemberRecord& host : LookUp(block << 8U)) {
      CHECK_TRUE(host.state == MemberState::kAlive);
    }
  }
}

TEST(Lookup, SuspectsAreReturnedWhenNoHostIsAlive) {
  for (MemberRecord& member : members) member.state = MemberState::kSuspect;
  LONGS_EQUAL(3, LookUp(1).size());
}

TEST(Lookup, RemovalMovesOnlyBlocksOfTheRemovedHost) {
  std::map<uint32_t, std::string> before;
  for (uint32_t block = 0; block < 1000; ++block) {
    before[block] = LookUp(block << 8U)[0].traffic_address;
  }
  const std::string removed_address = members[2].traffic_address;
  members.erase(members.begin() + 2);
  for (const auto& [block, first] : before) {
    if (first != removed_address) {
      STRCMP_EQUAL(first.c_str(),
                   LookUp(block << 8U)[0].traffic_address.c_str());
    }
  }
}

TEST_GROUP(Membership) {
  MemberRecord Record(const std::string& address) {
    return {.id = {address, 1},
            .traffic_address = address,
            .zone = "z",
            .region = "r"};
  }
  Membership membership{{.self = Record("a")}, kStart};
};

TEST(Membership, SilentNeighbourBecomesSuspectThenRemoved) {
  membership.Merge(Record("b"), kStart);
  for (int i = 0; i < 400; ++i) membership.Tick(kStart + milliseconds(100) * i);
  LONGS_EQUAL(1, membership.Members().size());
  LONGS_EQUAL(2, membership.AllRecords().size());
}

TEST(Membership, SuspectedDaemonRefutesWithHigherVersion) {
  MemberRecord claim = Record("a");
  claim.state = MemberState::kSuspect;
  CHECK_TRUE(membership.Merge(claim, kStart));
  CHECK_TRUE(membership.self().state == MemberState::kAlive);
  LONGS_EQUAL(1, membership.self().version);
}

TEST(Membership, PausedDaemonSuspectsNobodyAtOnce) {
  membership.Merge(Record("b"), kStart);
  membership.Tick(kStart + milliseconds(100));
  membership.Tick(kStart + seconds(60));
  LONGS_EQUAL(2, membership.LivingCount());
}

TEST(Membership, OlderIncarnationIsIgnored) {
  MemberRecord newer = Record("b");
  newer.id.incarnation = 5;
  membership.Merge(newer, kStart);
  MemberRecord older = Record("b");
  older.version = 9;
  older.state = MemberState::kSuspect;
  CHECK_FALSE(membership.Merge(older, kStart));
}

}  // namespace
}  // namespace greengage
