#include "gg_entry/fleet_control.h"

#include <condition_variable>
#include <mutex>

#include "entry/entry_fixtures.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

/** Runs a FleetControl on its own thread and collects the views. */
TEST_GROUP(FleetControl) {
  std::mutex mutex;
  std::condition_variable has_new_view;
  std::vector<FleetViewPtr> views;

  FleetControl::Options MakeOptions() {
    FleetControl::Options options;
    options.fleet.targets.zone_regions = {{"north-a", "north"}};
    options.fleet.members.self = MakeMember("self");
    options.hooks.log = [](LogLevel, Event, const std::string&) {};
    options.hooks.publish = [this](FleetViewPtr view) {
      const std::lock_guard lock(mutex);
      views.push_back(std::move(view));
      has_new_view.notify_all();
    };
    return options;
  }

  /** Waits until a view has this many targets. */
  bool WaitForTargets(size_t count) {
    std::unique_lock lock(mutex);
    return has_new_view.wait_for(lock, std::chrono::seconds(5), [&] {
      return !views.empty() && views.back()->targets.size() == count;
    });
  }
};

// Replays grown Gantnet's trouble-1: hosts with a tenth of a core fell behind
// while they rebuilt the view for each of several hundred changed entries.
TEST(FleetControl, TargetsChangedTogether_AreAppliedWithOneView) {
  constexpr size_t kTargetCount = 429;
  FleetControl control(MakeOptions());
  std::vector<FleetEvent> events;
  for (size_t i = 0; i < kTargetCount; ++i) {
    events.push_back(
        TargetListed{MakeTarget(absl::StrCat("t-", i), "north-a")});
  }
  control.Send(std::move(events));
  CHECK_TRUE(WaitForTargets(kTargetCount));
  const std::lock_guard lock(mutex);
  CHECK_TRUE(views.size() <= 2);  // the first may precede the targets
}

}  // namespace
}  // namespace greengage
