#include <deque>

#include "unit/fleet.h"
#include "unit/sample_document.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kCap = 0.2;
constexpr int kWindowSeconds = 20;
constexpr int kSchedules = 300;

/** Rounding of sums of many small moves. */
constexpr double kTolerance = 1e-9;

/** Share of home region north's traffic that goes south, over all hosts that
    serve, each with the same traffic; negative when none serves. */
double SouthShare(Fleet* fleet) {
  double sum = 0;
  int serving = 0;
  for (const Fleet::Host& host : fleet->hosts()) {
    if (!host.steering) continue;
    for (const Position& position : host.steering->Positions()) {
      if (position.service != "shop" || position.home != "north") continue;
      const auto south = position.split.find("south");
      sum += south == position.split.end() ? 0 : south->second;
      ++serving;
    }
  }
  return serving == 0 ? -1 : sum / serving;
}

TEST_GROUP(ShiftCap) {
  std::deque<double> samples;  // one a second
  double largest = 0;

  /** Notes the share now and checks it against every one of the last window. */
  void Sample(Fleet * fleet, uint64_t seed) {
    const double share = SouthShare(fleet);
    if (share < 0) return;
    samples.push_back(share);
    if (samples.size() > kWindowSeconds + 1) samples.pop_front();
    for (const double earlier : samples) {
      const double moved = std::abs(share - earlier);
      largest = std::max(largest, moved);
      if (moved <= kCap + kTolerance) continue;
      const std::string text = "seed " + std::to_string(seed) + ": moved " +
                               std::to_string(moved) + " within a window";
      FAIL(text.c_str());
    }
  }

  void Pass(Fleet * fleet, int duration_seconds, uint64_t seed) {
    for (int i = 0; i < duration_seconds; ++i) {
      fleet->Run(seconds(1));
      Sample(fleet, seed);
    }
  }

  void RunSchedule(uint64_t seed) {
    samples.clear();
    Fleet fleet(SampleFleet(seed, 5));
    Random& random = fleet.random();
    Pass(&fleet, 5, seed);
    static const char* const kSplits[] = {"{north: 0.0, south: 1.0}",
                                          "{north: 1.0, south: 0.0}",
                                          "{north: 0.5, south: 0.5}"};
    fleet.WriteDocument(SampleDocument(kSplits[0]));
    for (int step = 0; step < 25; ++step) {
      const int host = static_cast<int>(random.NextBelow(fleet.hosts().size()));
      switch (random.NextBelow(10)) {
        case 0:
          fleet.WriteDocument(SampleDocument(kSplits[random.NextBelow(3)]));
          break;
        case 1:
          fleet.Freeze(host);
          break;
        case 2:
          fleet.Thaw(host);
          break;
        case 3:
          fleet.hosts()[host].group = 1;
          fleet.hosts()[host].store_cut = true;
          break;
        case 4:
          for (auto& each : fleet.hosts()) {
            each.group = 0;
            each.store_cut = false;
          }
          break;
        case 5:
          fleet.SetStoreUp(false);
          break;
        case 6:
          fleet.SetStoreUp(true);
          break;
        default:
          break;
      }
      Pass(&fleet, 2 + static_cast<int>(random.NextBelow(8)), seed);
    }
  }
};

TEST(ShiftCap, RandomSchedulesStayUnderTheCap) {
  std::printf("seeds 1 to %d\n", kSchedules);
  for (uint64_t seed = 1; seed <= kSchedules; ++seed) RunSchedule(seed);
  std::printf("largest move within a window: %.4f of %.2f\n", largest, kCap);
  CHECK_TRUE(largest >= kCap / 2);
}

TEST(ShiftCap, LargeEditIsRampedToItsEnd) {
  Fleet fleet(SampleFleet(3, 5));
  Pass(&fleet, 5, 3);
  fleet.WriteDocument(SampleDocument("{north: 0.0, south: 1.0}"));
  Pass(&fleet, 300, 3);
  DOUBLES_EQUAL(1.0, SouthShare(&fleet), 1e-6);
}

TEST(ShiftCap, WholeFleetRestartedMidRampGoesOnFromThePlan) {
  Fleet fleet(SampleFleet(5, 5));
  Pass(&fleet, 5, 5);
  fleet.WriteDocument(SampleDocument("{north: 0.0, south: 1.0}"));
  Pass(&fleet, 100, 5);
  const double before = SouthShare(&fleet);
  CHECK_TRUE(before > 0.2);
  CHECK_TRUE(before < 0.9);
  for (int i = 0; i < 5; ++i) fleet.Kill(i);
  for (int i = 0; i < 5; ++i) fleet.Restart(i);
  Pass(&fleet, 10, 5);
  CHECK_TRUE(std::abs(SouthShare(&fleet) - before) <= kCap);
  Pass(&fleet, 250, 5);
  DOUBLES_EQUAL(1.0, SouthShare(&fleet), 1e-6);
}

TEST(ShiftCap, RestartedHostTakesItsPeersPosition) {
  Fleet fleet(SampleFleet(9, 5));
  Pass(&fleet, 5, 9);
  fleet.WriteDocument(SampleDocument("{north: 0.0, south: 1.0}"));
  Pass(&fleet, 100, 9);
  for (int i = 0; i < 5; ++i) {
    fleet.Restart(i);
    Pass(&fleet, 3, 9);
  }
}

TEST(ShiftCap, RampStallsWithoutTheStoreAndGoesOnAfter) {
  Fleet fleet(SampleFleet(11, 5));
  Pass(&fleet, 5, 11);
  fleet.WriteDocument(SampleDocument("{north: 0.0, south: 1.0}"));
  Pass(&fleet, 40, 11);
  fleet.SetStoreUp(false);
  Pass(&fleet, 10, 11);
  const double stalled = SouthShare(&fleet);
  Pass(&fleet, 60, 11);
  DOUBLES_EQUAL(stalled, SouthShare(&fleet), 0.05);
  fleet.SetStoreUp(true);
  Pass(&fleet, 250, 11);
  DOUBLES_EQUAL(1.0, SouthShare(&fleet), 1e-6);
}

}  // namespace
}  // namespace greengage
