// Compares the target choice of TargetTable with baseline policies. Eleven
// daemons, each with its own view, send requests to the targets of one region
// at the present sizes. The simulation runs in virtual time with fixed seeds,
// so the figures are the same in every run. Prints lines "name value unit".

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <queue>
#include <string>
#include <vector>

#include "gg_core/gg_core.h"
#include "gg_document/document.h"
#include "gg_steering/target_table.h"

namespace greengage {
namespace {

constexpr int kDaemonCount = 11;
constexpr int kTargetCount = 10;  // in one region: a third of 30
constexpr int64_t kSlotsPerTarget = 10;
constexpr double kMeanServiceSeconds = 0.02;
constexpr double kZoneDelaySeconds = 0.003;
constexpr double kOrderFraction = 0.1;
constexpr double kOrderWeight = 20;
constexpr int kMaxAttempts = 3;
constexpr int kRequestCount = 200'000;

/** How a daemon chooses a target. kTable is the TargetTable under test;
    kPerfect knows the load and the slowness of every target. */
enum class Policy { kRandom, kRoundRobin, kLeastInFlight, kTable, kPerfect };

inline constexpr EnumNames<Policy, 5> kPolicyNames{
    {"random", "round_robin", "least_in_flight", "table", "perfect"}};

/** Fault of the first target. */
enum class Fault { kNone, kSlow, kShedding };

inline constexpr EnumNames<Fault, 3> kFaultNames{{"none", "slow", "shedding"}};

struct Target {
  int64_t in_use = 0;
  int64_t assigned = 0;  // slots in use and requests in transit
  double slowness = 1;
  int64_t slots = kSlotsPerTarget;
};

struct Request {
  int daemon = 0;
  double weight = 1;
  double arrived = 0;
  int attempts = 0;
  std::vector<size_t> tried;
};

struct Event {
  double time = 0;
  uint64_t sequence = 0;
  std::function<void()> action;
  friend bool operator<(const Event& a, const Event& b) {
    return std::tie(a.time, a.sequence) > std::tie(b.time, b.sequence);
  }
};

Document MakeDocument() {
  Document document;
  document.regions.push_back({.name = "r", .capacity = 1000, .zones = {"z"}});
  ServiceSpec service{.name = "shop"};
  for (int i = 0; i < kTargetCount; ++i) {
    service.targets.push_back({.name = "t" + std::to_string(i),
                               .address = "10.0.0." + std::to_string(i) + ":80",
                               .zone = "z",
                               .slots = kSlotsPerTarget,
                               .connections = 400});
  }
  document.services.push_back(service);
  return document;
}

/** Simulates one policy at one load and prints its results. */
class Simulation {
 public:
  Simulation(Policy policy, double load, Fault fault)
      : policy_(policy), random_(20261204), targets_(kTargetCount) {
    const Document document = MakeDocument();
    for (int i = 0; i < kDaemonCount; ++i) {
      tables_.emplace_back(TargetTable::Options{});
      tables_.back().Apply(document, TimeAt(0));
    }
    in_flight_counts_.assign(kDaemonCount,
                             std::vector<int64_t>(kTargetCount, 0));
    next_round_robin_.assign(kDaemonCount, 0);
    if (fault == Fault::kSlow) targets_[0].slowness = 5;
    if (fault == Fault::kShedding) targets_[0].slots = 1;
    requests_per_second_ =
        load * kTargetCount * kSlotsPerTarget / kMeanServiceSeconds;
  }

  void Run(const std::string& name) {
    Schedule(0, [this] { ReceiveRequest(); });
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.action();
    }
    std::sort(latencies_.begin(), latencies_.end());
    const auto latency_ms = [&](double fraction) {
      return latencies_[static_cast<size_t>(
                 fraction * static_cast<double>(latencies_.size() - 1))] *
             1000;
    };
    std::printf("%s_p50 %.4g ms\n%s_p99 %.4g ms\n%s_weight_refused %.4g %%\n",
                name.c_str(), latency_ms(0.5), name.c_str(), latency_ms(0.99),
                name.c_str(), 100 * refused_weight_ / sent_weight_);
    std::fflush(stdout);
  }

 private:
  static TimePoint TimeAt(double seconds) {
    return TimePoint(std::chrono::hours(1)) + FromSeconds(seconds);
  }

  void Schedule(double time, std::function<void()> action) {
    events_.push({time, next_sequence_++, std::move(action)});
  }

  double Exponential(double mean) {
    return -mean * std::log(1 - random_.NextDouble());
  }

  void ReceiveRequest() {
    if (++request_count_ < kRequestCount) {
      Schedule(now_ + Exponential(1 / requests_per_second_),
               [this] { ReceiveRequest(); });
    }
    Request request{.daemon = static_cast<int>(random_.NextBelow(kDaemonCount)),
                    .arrived = now_};
    if (random_.NextDouble() < kOrderFraction) request.weight = kOrderWeight;
    sent_weight_ += request.weight;
    StartAttempt(request);
  }

  void StartAttempt(Request request) {
    const std::optional<size_t> chosen = Choose(request);
    if (!chosen || request.attempts >= kMaxAttempts) {
      if (chosen) Finish(request, *chosen, AttemptResult::kCancelled, 0);
      refused_weight_ += request.weight;
      return;
    }
    ++request.attempts;
    ++targets_[*chosen].assigned;
    request.tried.push_back(*chosen);
    Schedule(now_ + kZoneDelaySeconds, [this, request, target = *chosen] {
      ReachTarget(request, target);
    });
  }

  void ReachTarget(const Request& request, size_t target) {
    Target& state = targets_[target];
    const double sent_at = now_ - kZoneDelaySeconds;
    if (state.in_use >= state.slots) {
      --state.assigned;
      Schedule(now_ + kZoneDelaySeconds, [this, request, target, sent_at] {
        Finish(request, target, AttemptResult::kShed, now_ - sent_at);
        StartAttempt(request);
      });
      return;
    }
    ++state.in_use;
    const double service_seconds =
        Exponential(kMeanServiceSeconds) * state.slowness;
    Schedule(now_ + service_seconds, [this, target] {
      --targets_[target].in_use;
      --targets_[target].assigned;
    });
    Schedule(now_ + service_seconds + kZoneDelaySeconds, [this, request, target,
                                                          sent_at] {
      Finish(request, target, AttemptResult::kAnswered, now_ - sent_at);
      latencies_.push_back(now_ - request.arrived);
    });
  }

  std::optional<size_t> Choose(const Request& request) {
    if (policy_ == Policy::kTable) {
      return tables_[request.daemon].Choose({"shop", "r", request.tried},
                                            &random_, TimeAt(now_));
    }
    std::vector<size_t> untried;
    for (size_t i = 0; i < kTargetCount; ++i) {
      const bool was_tried =
          std::find(request.tried.begin(), request.tried.end(), i) !=
          request.tried.end();
      if (!was_tried) untried.push_back(i);
    }
    if (untried.empty()) return std::nullopt;
    const size_t chosen = ChooseBaseline(request.daemon, untried);
    ++in_flight_counts_[request.daemon][chosen];
    return chosen;
  }

  size_t ChooseBaseline(int daemon, const std::vector<size_t>& untried) {
    switch (policy_) {
      case Policy::kRoundRobin:
        return untried[next_round_robin_[daemon]++ % untried.size()];
      case Policy::kLeastInFlight:
        return LeastInFlight(daemon, untried);
      case Policy::kPerfect:
        return *std::min_element(
            untried.begin(), untried.end(), [&](size_t a, size_t b) {
              const auto cost = [&](size_t i) {
                const Target& t = targets_[i];
                const double full_penalty = t.assigned < t.slots ? 0 : 1e6;
                return full_penalty + t.slowness * 100 +
                       static_cast<double>(t.assigned);
              };
              return cost(a) < cost(b);
            });
      default:
        return untried[random_.NextBelow(untried.size())];
    }
  }

  /** Breaks ties at random. If it took the first, all daemons would choose the
      same target. */
  size_t LeastInFlight(int daemon, const std::vector<size_t>& untried) {
    std::vector<size_t> least;
    for (const size_t i : untried) {
      const int64_t count = in_flight_counts_[daemon][i];
      if (!least.empty() && count > in_flight_counts_[daemon][least[0]]) {
        continue;
      }
      if (!least.empty() && count < in_flight_counts_[daemon][least[0]]) {
        least.clear();
      }
      least.push_back(i);
    }
    return least[random_.NextBelow(least.size())];
  }

  void Finish(const Request& request, size_t target, AttemptResult result,
              double latency) {
    if (policy_ == Policy::kTable) {
      tables_[request.daemon].Finish(target, result, FromSeconds(latency),
                                     TimeAt(now_));
    } else {
      --in_flight_counts_[request.daemon][target];
    }
  }

  Policy policy_;
  Random random_;
  std::vector<Target> targets_;
  std::vector<TargetTable> tables_;
  std::vector<std::vector<int64_t>> in_flight_counts_;
  std::vector<size_t> next_round_robin_;
  std::priority_queue<Event> events_;
  std::vector<double> latencies_;
  double requests_per_second_ = 0;
  double now_ = 0;
  double sent_weight_ = 0;
  double refused_weight_ = 0;
  uint64_t next_sequence_ = 0;
  int request_count_ = 0;
};

}  // namespace
}  // namespace greengage

int main() {
  using namespace greengage;  // NOLINT(google-build-using-namespace)
  for (const Fault fault : {Fault::kNone, Fault::kSlow, Fault::kShedding}) {
    for (const int load : {50, 80, 95}) {
      for (const Policy policy :
           {Policy::kRandom, Policy::kRoundRobin, Policy::kLeastInFlight,
            Policy::kTable, Policy::kPerfect}) {
        const std::string name =
            "choice_" + std::string(kFaultNames.Name(fault)) + "_" +
            std::to_string(load) + "_" + std::string(kPolicyNames.Name(policy));
        Simulation(policy, load / 100.0, fault).Run(name);
      }
    }
  }
  return 0;
}
