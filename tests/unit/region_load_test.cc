#include <cstdlib>

#include "unit/fleet.h"
#include "unit/sample_document.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kCapacity = 40;
constexpr int kSchedules = 1000;
constexpr int kStepsPerSchedule = 60;

/** One random event: load, faults, repairs. */
void RandomStep(Fleet* fleet, const std::function<void()>& check) {
  Random& random = fleet->random();
  const int host = static_cast<int>(random.NextBelow(fleet->hosts().size()));
  // Callers crowd on the first host.
  const int crowded = random.NextBelow(2) == 0 ? host : 0;
  switch (random.NextBelow(13)) {
    case 0:
      fleet->Kill(host);
      break;
    case 1:
    case 2:
      if (!fleet->hosts()[host].controller) fleet->Restart(host);
      break;
    case 3:
      fleet->Freeze(host);
      break;
    case 4:
      // Traffic arrives before the control logic notices that it was paused.
      fleet->Thaw(host);
      for (int i = 0; i < 20; ++i) {
        fleet->StartRequest(host, "/x", seconds(2));
        check();
      }
      break;
    case 5:
      fleet->SetStoreUp(false);
      break;
    case 6:
      fleet->SetStoreUp(true);
      break;
    case 7:
      fleet->hosts()[host].group = static_cast<int>(random.NextBelow(2));
      break;
    case 8:
      for (auto& each : fleet->hosts()) each.group = 0;
      break;
    case 9:
      for (int i = 0; i < 6; ++i) {
        fleet->StartRequest(host, "/long", seconds(20));
        check();
      }
      break;
    case 10:
      // Callers come to every host at once.
      for (int i = 0; i < 60; ++i) {
        fleet->StartRequest(i % 5, "/x", seconds(1 + random.NextBelow(2)));
        check();
      }
      break;
    default:
      for (int i = 0; i < 30; ++i) {
        fleet->StartRequest(crowded, "/x", seconds(1 + random.NextBelow(2)));
        check();
      }
  }
}

TEST_GROUP(RegionLoad) {
  int64_t most = 0;
  bool expects_overload = false;
  BudgetTable::Options budget;

  void CheckLoad(const Fleet& fleet, uint64_t seed) {
    for (const char* region : {"north", "south"}) {
      const int64_t running = fleet.RunningIn(region);
      most = std::max(most, running);
      if (running <= kCapacity || expects_overload) continue;
      const std::string text = "seed " + std::to_string(seed) + ": " +
                               std::to_string(running) + " in " + region;
      FAIL(text.c_str());
    }
  }

  void RunSchedule(uint64_t seed) {
    Fleet::Options options = SampleFleet(seed, 5);
    options.budget = budget;
    Fleet fleet(options);
    const auto check = [&] { CheckLoad(fleet, seed); };
    fleet.Run(seconds(5), check);
    for (int step = 0; step < kStepsPerSchedule; ++step) {
      RandomStep(&fleet, check);
      fleet.Run(milliseconds(50 + fleet.random().NextBelow(1500)), check);
    }
  }
};

TEST(RegionLoad, RandomSchedulesNeverExceedCapacity) {
  const char* only = std::getenv("GREENGAGE_SEED");
  if (only != nullptr) {
    RunSchedule(std::strtoull(only, nullptr, 10));
    return;
  }
  std::printf("seeds 1 to %d\n", kSchedules);
  for (uint64_t seed = 1; seed <= kSchedules; ++seed) RunSchedule(seed);
  std::printf("most in one region: %ld of %ld\n", most, kCapacity);
  // The schedules must come near the limit, or the check says nothing.
  CHECK_TRUE(most >= kCapacity * 3 / 4);
}

TEST(RegionLoad, LoansTakenBackAtOnceOverload) {
  // The same schedules with the mechanism off: a lender counts on its permits
  // again while the borrower still uses them. The check must notice.
  expects_overload = true;
  budget.loan_margin = -budget.loan_term;
  for (uint64_t seed = 1; seed <= kSchedules && most <= kCapacity; ++seed) {
    RunSchedule(seed);
  }
  std::printf("most in one region: %ld of %ld\n", most, kCapacity);
  CHECK_TRUE(most > kCapacity);
}

TEST(RegionLoad, CrowdedHostBorrowsFromIdlePeers) {
  Fleet::Options options = SampleFleet(7, 5);
  options.loss = 0;
  Fleet fleet(options);
  fleet.Run(seconds(5));
  int64_t most = 0;
  for (int round = 0; round < 100; ++round) {
    for (int i = 0; i < 10; ++i) fleet.StartRequest(0, "/x", seconds(2));
    fleet.Run(milliseconds(100));
    most = std::max(most, fleet.RunningIn("north"));
  }
  // One of five hosts owns 8 of 40 permits.
  std::printf("one crowded host reached %ld of %ld\n", most, kCapacity);
  CHECK_TRUE(most >= kCapacity / 2);
}

TEST(RegionLoad, DeadHostsPartReturnsWhenThePlatformDropsIt) {
  Fleet::Options options = SampleFleet(11, 5);
  options.loss = 0;
  Fleet fleet(options);
  const auto list = [&](int first) {
    std::string hosts;
    for (size_t i = first; i < fleet.hosts().size(); ++i) {
      hosts += std::string(hosts.empty() ? "" : ",") + R"({"address":")" +
               fleet.hosts()[i].id.address + "\"}";
    }
    fleet.WriteStore(SharedKey::kHosts, "{\"hosts\":[" + hosts + "]}");
  };
  list(0);
  fleet.Run(seconds(5));
  fleet.Kill(0);
  fleet.Run(seconds(60));
  const auto owned = [&] {
    int64_t sum = 0;
    for (size_t i = 1; i < 5; ++i) {
      sum += fleet.hosts()[i].controller->slices().owned();
    }
    return sum;
  };
  CHECK_TRUE(owned() < 24);
  list(1);
  fleet.Run(seconds(140));
  LONGS_EQUAL(24, owned());
}

TEST(RegionLoad, SlicesThatDoNotDivideEvenlyComeToRest) {
  Fleet::Options options = SampleFleet(17, 5);
  options.hosts = 11;  // 24 slices: 2 each and 2 over
  options.loss = 0;
  Fleet fleet(options);
  fleet.Run(seconds(30));
  const uint64_t settled = fleet.store_revision(SharedKey::kSlices);
  fleet.Run(seconds(30));
  LONGS_EQUAL(settled, fleet.store_revision(SharedKey::kSlices));
  int64_t sum = 0;
  for (const Fleet::Host& host : fleet.hosts()) {
    const int64_t owned = host.controller->slices().owned();
    CHECK_TRUE(owned >= 2);
    sum += owned;
  }
  LONGS_EQUAL(24, sum);
}

TEST(RegionLoad, RestartedHostTakesItsPartBack) {
  Fleet fleet(SampleFleet(13, 5));
  fleet.Run(seconds(5));
  const int64_t before = fleet.hosts()[0].controller->slices().owned();
  fleet.Restart(0);
  fleet.Run(seconds(20));
  CHECK_TRUE(before > 0);
  LONGS_EQUAL(before, fleet.hosts()[0].controller->slices().owned());
  CHECK_TRUE(fleet.hosts()[0].steering->Usage("north").own > 0);
}

}  // namespace
}  // namespace greengage
