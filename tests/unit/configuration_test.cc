#include "unit/fleet.h"
#include "unit/sample_document.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSchedules = 300;
constexpr Duration kInForceWithin = seconds(5);

Fleet::Options FleetOptions(uint64_t seed) {
  Fleet::Options options = SampleFleet(seed, 8);
  options.loss = 0.05;
  options.repeat = 0.05;
  options.longest_delay = milliseconds(100);
  return options;
}

std::string DocumentWithCap(uint64_t number) {
  std::string text = SampleDocument();
  const std::string from = "cap: 0.2";
  return text.replace(
      text.find(from), from.size(),
      "cap: 0." + std::to_string(1 + number % 9) + std::to_string(number));
}

TEST_GROUP(Configuration) {
  std::map<HostId, uint64_t> seen;

  /** No process may ever go back a revision. */
  void CheckForward(Fleet * fleet, uint64_t seed) {
    for (const Fleet::Host& host : fleet->hosts()) {
      if (!host.steering) continue;
      const uint64_t revision = host.steering->document_revision();
      uint64_t& last = seen[host.id];
      if (revision < last) {
        const std::string text = "seed " + std::to_string(seed) + ": went back";
        FAIL(text.c_str());
      }
      last = revision;
    }
  }

  /** Whether any running daemon can hear of an edit from the store at all. */
  static bool CanAnyoneHear(Fleet * fleet) {
    for (const Fleet::Host& host : fleet->hosts()) {
      if (host.steering && !host.frozen && !host.store_cut) return true;
    }
    return false;
  }

  int64_t Behind(Fleet * fleet) {
    const uint64_t wanted = fleet->store_revision(SharedKey::kDocument);
    int64_t behind = 0;
    for (const Fleet::Host& host : fleet->hosts()) {
      if (!host.steering || host.frozen) continue;
      if (host.steering->document_revision() < wanted) ++behind;
    }
    return behind;
  }
};

TEST(Configuration, EditsUnderFaultsReachEveryLivingDaemonAndNeverRevert) {
  std::printf("seeds 1 to %d\n", kSchedules);
  for (uint64_t seed = 1; seed <= kSchedules; ++seed) {
    seen.clear();
    Fleet fleet(FleetOptions(seed));
    const auto check = [&] { CheckForward(&fleet, seed); };
    fleet.Run(seconds(5), check);
    for (int step = 0; step < 12; ++step) {
      Random& random = fleet.random();
      const int host = static_cast<int>(random.NextBelow(8));
      if (random.NextBelow(3) == 0) fleet.Restart(host);
      if (random.NextBelow(3) == 0) fleet.Freeze(host);
      if (random.NextBelow(2) == 0)
        fleet.Thaw(static_cast<int>(random.NextBelow(8)));
      // Part of the fleet cannot reach the store and hears from peers only.
      fleet.hosts()[random.NextBelow(8)].store_cut = random.NextBelow(2) == 0;
      fleet.WriteDocument(DocumentWithCap(seed * 100 + step));
      fleet.Run(kInForceWithin, check);
      const int64_t behind = Behind(&fleet);
      const std::string text = "seed " + std::to_string(seed) + " step " +
                               std::to_string(step) + ": " +
                               std::to_string(behind) + " behind";
      CHECK_TEXT(behind == 0 || !CanAnyoneHear(&fleet), text.c_str());
    }
  }
}

TEST(Configuration, CutOffQuarterCatchesUpAfterHealing) {
  Fleet fleet(FleetOptions(21));
  fleet.Run(seconds(5));
  for (const int host : {0, 1}) {
    fleet.hosts()[host].group = 1;
    fleet.hosts()[host].store_cut = true;
  }
  fleet.WriteDocument(DocumentWithCap(5));
  fleet.Run(seconds(120));
  LONGS_EQUAL(2, Behind(&fleet));
  for (auto& host : fleet.hosts()) {
    host.group = 0;
    host.store_cut = false;
  }
  // Contacts that are no members are tried every 10 s.
  fleet.Run(seconds(10) + kInForceWithin);
  LONGS_EQUAL(0, Behind(&fleet));
}

TEST(Configuration, RestartedDaemonLearnsFromPeersWhileTheStoreIsDown) {
  Fleet fleet(FleetOptions(23));
  fleet.Run(seconds(5));
  fleet.SetStoreUp(false);
  fleet.Run(seconds(1));
  fleet.Restart(3);
  fleet.Run(seconds(3));
  CHECK_TRUE(fleet.hosts()[3].controller->IsReady());
  LONGS_EQUAL(0, Behind(&fleet));
}

TEST(Configuration, InvalidDocumentWrittenPastTheToolIsRefused) {
  Fleet fleet(FleetOptions(25));
  fleet.Run(seconds(5));
  const uint64_t good = fleet.store_revision(SharedKey::kDocument);
  fleet.WriteDocument("platform: {owner: nobody}\n");
  fleet.Run(seconds(5));
  for (const Fleet::Host& host : fleet.hosts()) {
    LONGS_EQUAL(good, host.steering->document_revision());
  }
  fleet.WriteDocument(DocumentWithCap(7));
  fleet.Run(seconds(5));
  LONGS_EQUAL(0, Behind(&fleet));
}

TEST(Configuration, OnlyAFewDaemonsOfAZoneWatchTheStore) {
  Fleet::Options options = FleetOptions(27);
  options.hosts = 40;
  Fleet fleet(options);
  fleet.Run(seconds(10));
  int watching = 0;
  for (const Fleet::Host& host : fleet.hosts()) watching += host.watching;
  LONGS_EQUAL(8, watching);
}

}  // namespace
}  // namespace greengage
