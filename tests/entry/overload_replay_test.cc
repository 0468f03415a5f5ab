#include <algorithm>
#include <deque>
#include <functional>
#include <list>
#include <queue>

#include "entry/entry_fixtures.h"
#include "gg_request/gg_request.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

/** Service time of an object that the target handled recently. */
constexpr double kKnownObjectSeconds = 0.28;
/** Service time of any other object. */
constexpr double kUnknownObjectSeconds = 0.95;
constexpr double kLatencyObjectiveSeconds = 0.6;
constexpr double kTimeLimitSeconds = 1.5;
/** Number of objects that a target remembers. */
constexpr size_t kRememberedObjects = 35;

/** A target with slots, a queue, and a cache of recent objects. */
struct SimulatedTarget {
  int running = 0;
  std::deque<std::function<void(double)>> waiting;
  std::list<int> recent_objects;  // most recent first

  /** Adds the object to the cache and returns whether it was there already. */
  bool RecordObject(int object) {
    const auto found =
        std::find(recent_objects.begin(), recent_objects.end(), object);
    const bool is_known = found != recent_objects.end();
    if (is_known) recent_objects.erase(found);
    recent_objects.push_front(object);
    if (recent_objects.size() > kRememberedObjects) recent_objects.pop_back();
    return is_known;
  }
};

/** Simulates load that a picker spreads over targets with caches. */
class OverloadSimulation {
 public:
  OverloadSimulation(TargetPicker::Options options, int targets)
      : picker_(options, &status_table_) {
    const FleetView view = MakeView({{"north", targets}});
    route_ = &view.config->routes[0];
    config_ = view.config;
    status_table_.SetTargets(view);
    picker_.SetView(std::make_shared<FleetView>(view));
    targets_.resize(targets);
  }

  /** Returns the share of requests that arrive at `from` or later, in seconds,
      and are answered within the objective.
      @param per_second  requests per second. */
  double Run(double per_second, int objects, double from, double until) {
    int arrived = 0;
    int in_time = 0;
    Random random(11);
    std::function<void(double)> arrive = [&](double now) {
      if (now < until) events_.push({now + 1 / per_second, arrive});
      const int object = static_cast<int>(random.NextBelow(objects));
      const bool counts = now >= from;
      arrived += counts ? 1 : 0;
      const Pick pick =
          picker_.Choose({.route = route_,
                          .service = "shop",
                          .object = absl::StrCat("object-", object)},
                         At(now));
      if (!pick.row) return;
      Send(*pick.row, object, now, [&, counts, began = now](double ended) {
        in_time += counts && ended - began <= kLatencyObjectiveSeconds ? 1 : 0;
      });
    };
    events_.push({0, arrive});
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      event.run(event.at);
    }
    return static_cast<double>(in_time) / arrived;
  }

 private:
  struct Event {
    double at = 0;
    std::function<void(double)> run;
    bool operator<(const Event& other) const { return at > other.at; }
  };

  void Send(size_t row, int object, double now,
            std::function<void(double)> on_answer) {
    status_table_.RecordAttemptStart(row);
    const double deadline = now + kTimeLimitSeconds;
    const auto start = [this, row, object, deadline, on_answer](double began) {
      if (began >= deadline) {
        status_table_.RecordAttemptEnd(row, AttemptEnd::kShed, 0, At(began));
        ReleaseSlot(row, began);
        return;
      }
      const double service_time = targets_[row].RecordObject(object)
                                      ? kKnownObjectSeconds
                                      : kUnknownObjectSeconds;
      const double end = std::min(began + service_time, deadline);
      events_.push({end, [this, row, on_answer,
                          is_whole = end < deadline](double ended) {
                      status_table_.RecordAttemptEnd(row, AttemptEnd::kAnswered,
                                                     0, At(ended));
                      if (is_whole) on_answer(ended);
                      ReleaseSlot(row, ended);
                    }});
    };
    SimulatedTarget& target = targets_[row];
    if (target.running < status_table_.row(row).target.record.slots) {
      ++target.running;
      start(now);
    } else {
      target.waiting.push_back(start);
    }
  }

  void ReleaseSlot(size_t row, double now) {
    SimulatedTarget& target = targets_[row];
    if (target.waiting.empty()) {
      --target.running;
      return;
    }
    const auto next = target.waiting.front();
    target.waiting.pop_front();
    next(now);
  }

  TargetStatusTable status_table_{TargetStatusTable::Options{}};
  TargetPicker picker_;
  FleetConfigPtr config_;
  const RouteRule* route_ = nullptr;
  std::vector<SimulatedTarget> targets_;
  std::priority_queue<Event> events_;
};

// clang-format takes the braces of this group for an initializer.
// clang-format off
TEST_GROUP(OverloadReplay) {
  /** Returns the share of requests answered within the objective after a cold
      start.
      @param load  fraction of the capacity that the targets have once they have
             handled all objects. That is 3.4 times the capacity that they start
             with. */
  double ShareInTime(TargetPicker::Options options, double load) {
    constexpr int kTargets = 12;
    constexpr int kSlots = 9;
    constexpr int kObjects = 120;
    OverloadSimulation simulation(std::move(options), kTargets);
    return simulation.Run(load * kTargets * kSlots / kKnownObjectSeconds,
                          kObjects, 10, 30);
  }
  TargetPicker::Options Options() {
    return {.self = "host", .region = "north", .regions = {"north"}};
  }
};
// clang-format on

TEST(OverloadReplay, ColdStartAtSevenTenths_Recovers) {
  CHECK_TRUE(ShareInTime(Options(), 0.7) > 0.9);
}

// Without affinity of objects to targets, the same load does not recover.
TEST(OverloadReplay, ColdStartWithoutAffinity_DoesNotRecover) {
  TargetPicker::Options without_affinity = Options();
  without_affinity.max_affinity_utilization = 0.3;
  without_affinity.max_spillover_utilization = 1.5;
  CHECK_TRUE(ShareInTime(without_affinity, 0.7) < 0.6);
}

}  // namespace
}  // namespace greengage
