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

/** Rounding error of the sum of many small shifts. */
constexpr double kTolerance = 1e-9;

/** Returns the fraction of home region north's traffic that goes to region
    south, for hosts with equal traffic; negative when no host serves. */
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
  std::deque<double> samples;  // one per second
  double largest_move = 0;

  /** Records the current share and checks how far it moved from each one in the
      last window. */
  void RecordShare(Fleet * fleet, uint64_t seed) {
    const double share = SouthShare(fleet);
    if (share < 0) return;
    samples.push_back(share);
    if (samples.size() > kWindowSeconds + 1) samples.pop_front();
    for (const double earlier : samples) {
      const double moved = std::abs(share - earlier);
      largest_move = std::max(largest_move, moved);
      if (moved <= kCap + kTolerance) continue;
      const std::string text = "seed " + std::to_string(seed) +
                               ": share moved by " + std::to_string(moved) +
                               " within a window";
      FAIL(text.c_str());
    }
  }

  void RunAndRecord(Fleet * fleet, int duration_seconds, uint64_t seed) {
    for (int i = 0; i < duration_seconds; ++i) {
      fleet->Run(seconds(1));
      RecordShare(fleet, seed);
    }
  }

  void RunSchedule(uint64_t seed) {
    samples.clear();
    Fleet fleet(SampleFleetOptions(seed, 5));
    Random& random = fleet.random();
    RunAndRecord(&fleet, 5, seed);
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
          fleet.Pause(host);
          break;
        case 2:
          fleet.Resume(host);
          break;
        case 3:
          fleet.hosts()[host].partition = 1;
          fleet.hosts()[host].is_store_unreachable = true;
          break;
        case 4:
          for (auto& each : fleet.hosts()) {
            each.partition = 0;
            each.is_store_unreachable = false;
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
      RunAndRecord(&fleet, 2 + static_cast<int>(random.NextBelow(8)), seed);
    }
  }
};

TEST(ShiftCap, RandomSchedulesStayUnderTheCap) {
  std::printf("seeds 1 to %d\n", kSchedules);
  for (uint64_t seed = 1; seed <= kSchedules; ++seed) RunSchedule(seed);
  std::printf("largest shift within a window: %.4f, cap %.2f\n", largest_move,
              kCap);
  CHECK_TRUE(largest_move >= kCap / 2);
}

TEST(ShiftCap, LargeEditIsRampedToCompletion) {
  Fleet fleet(SampleFleetOptions(3, 5));
  RunAndRecord(&fleet, 5, 3);
  fleet.WriteDocument(SampleDocument("{north: 0.0, south: 1.0}"));
  RunAndRecord(&fleet, 300, 3);
  DOUBLES_EQUAL(1.0, SouthShare(&fleet), 1e-6);
}

TEST(ShiftCap, FleetRestartedDuringRampContinuesFromThePlan) {
  Fleet fleet(SampleFleetOptions(5, 5));
  RunAndRecord(&fleet, 5, 5);
  fleet.WriteDocument(SampleDocument("{north: 0.0, south: 1.0}"));
  RunAndRecord(&fleet, 100, 5);
  const double before = SouthShare(&fleet);
  CHECK_TRUE(before > 0.2);
  CHECK_TRUE(before < 0.9);
  for (int i = 0; i < 5; ++i) fleet.Kill(i);
  for (int i = 0; i < 5; ++i) fleet.Restart(i);
  RunAndRecord(&fleet, 10, 5);
  CHECK_TRUE(std::abs(SouthShare(&fleet) - before) <= kCap);
  RunAndRecord(&fleet, 250, 5);
  DOUBLES_EQUAL(1.0, SouthShare(&fleet), 1e-6);
}

TEST(ShiftCap, RestartedHostTakesItsPeersPosition) {
  Fleet fleet(SampleFleetOptions(9, 5));
  RunAndRecord(&fleet, 5, 9);
  fleet.WriteDocument(SampleDocument("{north: 0.0, south: 1.0}"));
  RunAndRecord(&fleet, 100, 9);
  for (int i = 0; i < 5; ++i) {
    fleet.Restart(i);
    RunAndRecord(&fleet, 3, 9);
  }
}

TEST(ShiftCap, RampStallsWithoutTheStoreAndContinuesAfter) {
  Fleet fleet(SampleFleetOptions(11, 5));
  RunAndRecord(&fleet, 5, 11);
  fleet.WriteDocument(SampleDocument("{north: 0.0, south: 1.0}"));
  RunAndRecord(&fleet, 40, 11);
  fleet.SetStoreUp(false);
  RunAndRecord(&fleet, 10, 11);
  const double stalled = SouthShare(&fleet);
  RunAndRecord(&fleet, 60, 11);
  DOUBLES_EQUAL(stalled, SouthShare(&fleet), 0.05);
  fleet.SetStoreUp(true);
  RunAndRecord(&fleet, 250, 11);
  DOUBLES_EQUAL(1.0, SouthShare(&fleet), 1e-6);
}

}  // namespace
}  // namespace greengage
