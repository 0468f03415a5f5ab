#include "unit/fleet.h"
#include "unit/sample_document.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSchedules = 300;
constexpr Duration kMaxPropagationTime = seconds(5);

Fleet::Options FleetOptions(uint64_t seed) {
  Fleet::Options options = SampleFleetOptions(seed, 8);
  options.loss_probability = 0.05;
  options.duplicate_probability = 0.05;
  options.max_delay = milliseconds(100);
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

  /** Checks that no process replaces its document by an older revision. */
  void CheckRevisionNeverDecreases(Fleet * fleet, uint64_t seed) {
    for (const Fleet::Host& host : fleet->hosts()) {
      if (!host.steering) continue;
      const uint64_t revision = host.steering->document_revision();
      uint64_t& last = seen[host.id];
      if (revision < last) {
        const std::string text =
            "seed " + std::to_string(seed) + ": document revision decreased";
        FAIL(text.c_str());
      }
      last = revision;
    }
  }

  /** Returns whether any running daemon can read the store; otherwise an edit
      reaches nobody. */
  static bool CanAnyDaemonReadStore(Fleet * fleet) {
    for (const Fleet::Host& host : fleet->hosts()) {
      if (host.steering && !host.is_paused && !host.is_store_unreachable) {
        return true;
      }
    }
    return false;
  }

  /** Returns the number of running daemons without the stored document. */
  int64_t CountOutdated(Fleet * fleet) {
    const uint64_t stored_revision =
        fleet->store_revision(SharedKey::kDocument);
    int64_t outdated = 0;
    for (const Fleet::Host& host : fleet->hosts()) {
      if (!host.steering || host.is_paused) continue;
      if (host.steering->document_revision() < stored_revision) ++outdated;
    }
    return outdated;
  }
};

TEST(Configuration, EditsUnderFaultsReachEveryLivingDaemonAndNeverRevert) {
  std::printf("seeds 1 to %d\n", kSchedules);
  for (uint64_t seed = 1; seed <= kSchedules; ++seed) {
    seen.clear();
    Fleet fleet(FleetOptions(seed));
    const auto check = [&] { CheckRevisionNeverDecreases(&fleet, seed); };
    fleet.Run(seconds(5), check);
    for (int step = 0; step < 12; ++step) {
      Random& random = fleet.random();
      const int host = static_cast<int>(random.NextBelow(8));
      if (random.NextBelow(3) == 0) fleet.Restart(host);
      if (random.NextBelow(3) == 0) fleet.Pause(host);
      if (random.NextBelow(2) == 0)
        fleet.Resume(static_cast<int>(random.NextBelow(8)));
      // A host that cannot reach the store learns of edits from peers only.
      fleet.hosts()[random.NextBelow(8)].is_store_unreachable =
          random.NextBelow(2) == 0;
      fleet.WriteDocument(DocumentWithCap(seed * 100 + step));
      fleet.Run(kMaxPropagationTime, check);
      const int64_t outdated = CountOutdated(&fleet);
      const std::string text = "seed " + std::to_string(seed) + " step " +
                               std::to_string(step) + ": " +
                               std::to_string(outdated) +
                               " daemons have an outdated document";
      CHECK_TEXT(outdated == 0 || !CanAnyDaemonReadStore(&fleet), text.c_str());
    }
  }
}

TEST(Configuration, PartitionedQuarterCatchesUpAfterPartitionHeals) {
  Fleet fleet(FleetOptions(21));
  fleet.Run(seconds(5));
  for (const int host : {0, 1}) {
    fleet.hosts()[host].partition = 1;
    fleet.hosts()[host].is_store_unreachable = true;
  }
  fleet.WriteDocument(DocumentWithCap(5));
  fleet.Run(seconds(120));
  LONGS_EQUAL(2, CountOutdated(&fleet));
  for (auto& host : fleet.hosts()) {
    host.partition = 0;
    host.is_store_unreachable = false;
  }
  // Seeds that are not members are tried every 10 s.
  fleet.Run(seconds(10) + kMaxPropagationTime);
  LONGS_EQUAL(0, CountOutdated(&fleet));
}

TEST(Configuration, RestartedDaemonLearnsFromPeersWhileTheStoreIsDown) {
  Fleet fleet(FleetOptions(23));
  fleet.Run(seconds(5));
  fleet.SetStoreUp(false);
  fleet.Run(seconds(1));
  fleet.Restart(3);
  fleet.Run(seconds(3));
  CHECK_TRUE(fleet.hosts()[3].controller->IsReady());
  LONGS_EQUAL(0, CountOutdated(&fleet));
}

TEST(Configuration, InvalidDocumentWrittenToTheStoreIsRefused) {
  Fleet fleet(FleetOptions(25));
  fleet.Run(seconds(5));
  const uint64_t valid_revision = fleet.store_revision(SharedKey::kDocument);
  fleet.WriteDocument("platform: {owner: nobody}\n");
  fleet.Run(seconds(5));
  for (const Fleet::Host& host : fleet.hosts()) {
    LONGS_EQUAL(valid_revision, host.steering->document_revision());
  }
  fleet.WriteDocument(DocumentWithCap(7));
  fleet.Run(seconds(5));
  LONGS_EQUAL(0, CountOutdated(&fleet));
}

TEST(Configuration, OnlyAFewDaemonsOfAZoneWatchTheStore) {
  Fleet::Options options = FleetOptions(27);
  options.hosts = 40;
  Fleet fleet(options);
  fleet.Run(seconds(10));
  int watching_count = 0;
  for (const Fleet::Host& host : fleet.hosts()) {
    watching_count += host.is_watching;
  }
  LONGS_EQUAL(8, watching_count);
}

}  // namespace
}  // namespace greengage
