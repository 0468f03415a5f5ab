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

constexpr double kKnownWork = 0.28;  // s, the target handled the object lately
constexpr double kUnknownWork = 0.95;  // s
constexpr double kObjective = 0.6;     // s
constexpr double kTimeLimit = 1.5;     // s
constexpr size_t kMemory = 35;         // objects that a target remembers

/** One target: slots, a queue, and a memory of objects. */
struct SimulatedTarget {
  int running = 0;
  std::deque<std::function<void(double)>> waiting;
  std::list<int> memory;  // most recent first

  bool Remember(int object) {
    const auto found = std::find(memory.begin(), memory.end(), object);
    const bool is_known = found != memory.end();
    if (is_known) memory.erase(found);
    memory.push_front(object);
    if (memory.size() > kMemory) memory.pop_back();
    return is_known;
  }
};

/** Replays a load on targets with memory through a picker. */
class Replay {
 public:
  Replay(TargetPicker::Options options, int targets)
      : picker_(options, &board_) {
    const FleetView view = MakeView({{"north", targets}});
    route_ = &view.config->routes[0];
    config_ = view.config;
    board_.SetTargets(view);
    picker_.SetView(std::make_shared<FleetView>(view));
    targets_.resize(targets);
  }

  /** Returns the share of requests after `from` answered within the objective.
      @param per_second  requests. */
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
        in_time += counts && ended - began <= kObjective ? 1 : 0;
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
    board_.Begin(row);
    const double give_up = now + kTimeLimit;
    const auto start = [this, row, object, give_up, on_answer](double began) {
      if (began >= give_up) {
        board_.End(row, AttemptEnd::kShed, 0, At(began));
        Free(row, began);
        return;
      }
      const double work =
          targets_[row].Remember(object) ? kKnownWork : kUnknownWork;
      const double end = std::min(began + work, give_up);
      events_.push(
          {end, [this, row, on_answer, is_whole = end < give_up](double ended) {
             board_.End(row, AttemptEnd::kAnswered, 0, At(ended));
             if (is_whole) on_answer(ended);
             Free(row, ended);
           }});
    };
    SimulatedTarget& target = targets_[row];
    if (target.running < board_.row(row).target.record.slots) {
      ++target.running;
      start(now);
    } else {
      target.waiting.push_back(start);
    }
  }

  void Free(size_t row, double now) {
    SimulatedTarget& target = targets_[row];
    if (target.waiting.empty()) {
      --target.running;
      return;
    }
    const auto next = target.waiting.front();
    target.waiting.pop_front();
    next(now);
  }

  TargetBoard board_{TargetBoard::Options{}};
  TargetPicker picker_;
  FleetConfigPtr config_;
  const RouteRule* route_ = nullptr;
  std::vector<SimulatedTarget> targets_;
  std::priority_queue<Event> events_;
};

TEST_GROUP(OverloadReplay){
    /** A cold start at 1.0 of the capacity of targets that know their objects,
       as on the days of Txurruka with trouble, is 3.4 times what they bear when
       they know none. */
    double ShareInTime(TargetPicker::Options options,
                       double load){constexpr int kTargets = 12;
constexpr int kSlots = 9;
constexpr int kObjects = 120;
Replay replay(std::move(options), kTargets);
return replay.Run(load * kTargets * kSlots / kKnownWork, kObjects, 10, 30);
}  // namespace
TargetPicker::Options Options() {
  return {.self = "host", .region = "north", .regions = {"north"}};
}
};  // namespace greengage

TEST(OverloadReplay, ColdStartAtSevenTenths_Recovers) {
  CHECK_TRUE(ShareInTime(Options(), 0.7) > 0.9);
}

// With the mechanism off the same load does not recover.
TEST(OverloadReplay, ColdStartWithoutStaying_DoesNotRecover) {
  TargetPicker::Options spreading = Options();
  spreading.stay_utilization = 0.3;
  spreading.spill_utilization = 1.5;
  CHECK_TRUE(ShareInTime(spreading, 0.7) < 0.6);
}

}  // namespace
}  // namespace greengage
