// When a daemon may send to a target that says that it is leaving or that it
// wants no requests for a while.

#include <map>
#include <vector>

#include "entry/entry_fixtures.h"
#include "gg_core/random.h"
#include "gg_request/gg_request.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

constexpr Duration kDrainTime = std::chrono::milliseconds(2500);

TEST_GROUP(SendPermission) {
  TargetStatusTable table{TargetStatusTable::Options{}};
  TargetPicker picker{{.self = "host-1",
                       .region = "north",
                       .regions = {"north", "south"},
                       .drain_time = kDrainTime},
                      &table};
  FleetView view;

  void UseView(FleetView next) {
    view = std::move(next);
    table.SetTargets(view);
    picker.SetView(std::make_shared<FleetView>(view));
  }
  Pick Choose(const std::string& object, double seconds) {
    return picker.Choose(
        {.route = &view.config->routes[0], .service = "shop", .object = object},
        At(seconds));
  }
  SendBarrier Barrier(size_t row, double seconds) {
    return picker.PermissionToSend(row, At(seconds)).barrier;
  }
};

TEST(SendPermission, LeavingTarget_IsTheLastResortUntilItsTimeToDrainEnds) {
  UseView(MakeView({{"north", 2}}));
  const size_t first = *Choose("tool", 0).row;
  CHECK_TRUE(table.RecordLeaving(first, At(0)));
  CHECK_FALSE(table.RecordLeaving(first, At(1)));  // known already
  CHECK_TRUE(*Choose("tool", 0).row != first);
  table.RecordLeaving(1 - first, At(1));
  // Both are leaving; the one that said so first is barred first.
  CHECK_TRUE(Choose("tool", 2.4).row.has_value());
  CHECK_TRUE(*Choose("tool", 2.6).row == 1 - first);
  CHECK_FALSE(Choose("tool", 3.6).row.has_value());
  CHECK_TRUE(Barrier(first, 2.6) == SendBarrier::kLeaving);
}

TEST(SendPermission, TargetOfAnotherRegion_IsBetterThanALeavingOne) {
  UseView(MakeView({{"north", 1}, {"south", 1}}));
  table.RecordLeaving(0, At(0));
  for (int i = 0; i < 20; ++i) {
    LONGS_EQUAL(1, *Choose(absl::StrCat("object-", i), 0.1).row);
  }
}

TEST(SendPermission, NoticeOfAnInstance_EndsWithTheInstanceOnly) {
  const FleetView all = MakeView({{"north", 1}});
  UseView(all);
  table.RecordLeaving(0, At(0));
  FleetView none = all;
  none.targets.clear();
  UseView(none);
  UseView(all);  // its entry is back
  CHECK_FALSE(Choose("tool", 3).row.has_value());
  FleetView restarted = all;
  restarted.targets[0].record.incarnation_ms += 1;
  UseView(restarted);
  CHECK_TRUE(Choose("tool", 3).row.has_value());
}

TEST(SendPermission, PausedTarget_GetsNothingUntilThePauseEnds) {
  UseView(MakeView({{"north", 2}}));
  const size_t first = *Choose("tool", 0).row;
  CHECK_TRUE(table.RecordPause(first, FromSeconds(2), At(0)));
  // A shorter pause does not end the longer one.
  CHECK_FALSE(table.RecordPause(first, FromSeconds(0.5), At(1)));
  CHECK_TRUE(*Choose("tool", 1.9).row != first);
  CHECK_TRUE(*Choose("tool", 2).row == first);
}

TEST(SendPermission, AllTargetsPaused_TellsWhenTheFirstPauseEnds) {
  UseView(MakeView({{"north", 2}}));
  table.RecordPause(0, FromSeconds(3), At(0));
  table.RecordPause(1, FromSeconds(2), At(0));
  const Pick pick = Choose("tool", 0.5);
  CHECK_FALSE(pick.row.has_value());
  CHECK_TRUE(pick.reason == NoTargetReason::kAllPaused);
  DOUBLES_EQUAL(1.5, ToSeconds(pick.admission_delay), 1e-6);
  LONGS_EQUAL(2,
              pick.barred_targets[static_cast<size_t>(SendBarrier::kPaused)]);
}

TEST(SendPermission, NoticesOfManyTargets_AreBounded) {
  TargetNotices notices{{.max_targets = 10}};
  for (uint64_t target = 0; target < 100; ++target) {
    notices.RecordLeaving(target, At(0));
  }
  CHECK_FALSE(notices.Find(89).leaving_since.has_value());
  CHECK_TRUE(notices.Find(90).leaving_since.has_value());
}

/** Random schedules of notices, restarts under the same identifier, outages in
    which entries vanish and return, and addresses that pass to other targets.
    What each instance said is recorded beside the daemon's own tables. */
TEST_GROUP_BASE(SendPermissionSchedule,
                TEST_GROUP_CppUTestGroupSendPermission) {
  struct Instance {
    std::optional<TimePoint> leaving_since;
    std::vector<std::pair<TimePoint, TimePoint>> pauses;
  };
  /** The targets that exist, and whether each stands in the store. */
  struct Target {
    UsableTarget target;
    bool is_listed = true;
  };
  std::map<std::string, Instance> instances;  // by TargetStatus::key
  std::vector<Target> targets;

  void PublishTargets(const FleetView& base) {
    FleetView next = base;
    next.targets.clear();
    for (const Target& target : targets) {
      if (target.is_listed) next.targets.push_back(target.target);
    }
    UseView(std::move(next));
  }
  bool MaySend(const std::string& key, TimePoint now) {
    const Instance& instance = instances[key];
    if (instance.leaving_since && now >= *instance.leaving_since + kDrainTime) {
      return false;
    }
    for (const auto& [begin, end] : instance.pauses) {
      if (now >= begin && now < end) return false;
    }
    return true;
  }
  /** Returns whether a listed target would take a request. */
  bool IsAnyUsable(TimePoint now) {
    for (const Target& target : targets) {
      const TargetRecord& record = target.target.record;
      const std::string key =
          absl::StrCat(record.id, "/", record.incarnation_ms);
      if (target.is_listed && MaySend(key, now)) return true;
    }
    return false;
  }
  void Say(Random * random, const std::string& key, size_t row, TimePoint now) {
    Instance& instance = instances[key];
    if (random->NextBelow(3) == 0) {
      table.RecordLeaving(row, now);
      if (!instance.leaving_since) instance.leaving_since = now;
    } else {
      const Duration pause = FromSeconds(0.3 + 3 * random->NextDouble());
      table.RecordPause(row, pause, now);
      instance.pauses.emplace_back(now, now + pause);
    }
  }
  void ChangeTarget(Random * random) {
    Target& target = targets[random->NextBelow(targets.size())];
    switch (random->NextBelow(3)) {
      case 0:
        target.is_listed = !target.is_listed;
        break;
      case 1:
        ++target.target.record.incarnation_ms;
        target.is_listed = true;
        break;
      default: {
        const Target& other = targets[random->NextBelow(targets.size())];
        target.target.record.address = other.target.record.address;
      }
    }
  }
  void Play(uint64_t seed) {
    Random random(seed);
    const FleetView base = MakeView({{"north", 3}, {"south", 2}});
    instances.clear();
    targets.clear();
    for (const UsableTarget& target : base.targets) {
      targets.push_back({target});
    }
    table = TargetStatusTable{TargetStatusTable::Options{}};
    PublishTargets(base);
    double seconds = 10;
    for (int step = 0; step < 300; ++step) {
      seconds += 0.2 * random.NextDouble();
      const TimePoint now = At(seconds);
      if (random.NextBelow(12) == 0) {
        ChangeTarget(&random);
        PublishTargets(base);
      }
      const Pick pick =
          Choose(absl::StrCat("object-", random.NextBelow(20)), seconds);
      CHECK_EQUAL(IsAnyUsable(now), pick.row.has_value());
      if (!pick.row) continue;
      const std::string key = table.row(*pick.row).key;
      CHECK_TRUE_TEXT(MaySend(key, now), absl::StrCat(seed, " ", key).c_str());
      // The answer arrives while the row is still in use.
      table.RecordAttemptStart(*pick.row);
      if (random.NextBelow(6) == 0) Say(&random, key, *pick.row, now);
      table.RecordAttemptEnd(*pick.row, AttemptEnd::kAnswered, 1, now);
    }
  }
};

TEST(SendPermissionSchedule, AnySchedule_KeepsToWhatEachInstanceSaid) {
  for (uint64_t seed = 1; seed <= 300; ++seed) Play(seed);
}

}  // namespace
}  // namespace greengage
