#include "gg_request/target_rate_limiter.h"

#include <algorithm>

#include "entry/entry_fixtures.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

constexpr uint64_t kTarget = 7;

/** What a fleet does to one rate-limited target. Times are in seconds. */
struct FleetScenario {
  int daemons = 11;  // dealt out over three regions
  double limit = 3;  // requests per second
  /** Requests per second that all daemons together would send. */
  double demand = 9;
  /** Share of the demand that comes from one region; it passes to the next
      region every `demand_period`. */
  double regional_share = 0.6;
  double demand_period = 8;
  double heartbeat_loss = 0;
  /** Between these times daemons with an odd number don't hear those with an
      even one. */
  double cut_from = 0;
  double cut_until = 0;
  double length = 40;
};

/** Daemons that send to one target and exchange heartbeats, in virtual time.
    The target names its limit in every response, `kResponseTime` after the
    request. */
class LimitedFleet {
 public:
  LimitedFleet(const FleetScenario& scenario, uint64_t seed)
      : scenario_(scenario), random_(seed) {
    for (int i = 0; i < scenario.daemons; ++i) {
      limiters_.emplace_back(TargetRateLimiter::Options{.seed = seed + i});
      limiters_.back().SetSenderCount(scenario.daemons);
      next_heartbeat_.push_back(random_.NextDouble());
    }
    rounds_.resize(scenario.daemons);
  }

  void Run() {
    for (double now = 0; now < scenario_.length; now += kStep) {
      for (int i = 0; i < scenario_.daemons; ++i) {
        if (now < next_heartbeat_[i]) continue;
        SendHeartbeat(i, now);
        const bool is_large = scenario_.daemons > 24;
        next_heartbeat_[i] = now + (is_large ? 0.5 : 0.25);
      }
      if (random_.NextDouble() < scenario_.demand * kStep) Offer(now);
      while (!responses_.empty() && responses_.front().first <= now) {
        limiters_[responses_.front().second].RecordResponse(
            kTarget, scenario_.limit, At(now));
        responses_.erase(responses_.begin());
      }
    }
  }

  /** Returns the largest number of requests within 4 s, from `from` on. */
  int MaxArrivals(double from) const {
    int most = 0;
    for (auto last = arrivals_.begin(); last != arrivals_.end(); ++last) {
      if (*last < from) continue;
      const auto first = std::upper_bound(arrivals_.begin(), last, *last - 4);
      most = std::max(most, static_cast<int>(last - first) + 1);
    }
    return most;
  }

  /** Returns the requests per second from `from` on. */
  double Rate(double from) const {
    const auto first =
        std::lower_bound(arrivals_.begin(), arrivals_.end(), from);
    return static_cast<double>(arrivals_.end() - first) /
           (scenario_.length - from);
  }

  /** Returns the share of the offers that were admitted. */
  double AdmittedShare() const {
    return static_cast<double>(arrivals_.size()) / offers_;
  }

 private:
  static constexpr double kStep = 0.005;
  static constexpr double kResponseTime = 0.3;

  void Offer(double now) {
    const int regions = std::min(3, scenario_.daemons);
    int region = static_cast<int>(now / scenario_.demand_period) % regions;
    if (random_.NextDouble() >= scenario_.regional_share) {
      region = static_cast<int>(random_.NextBelow(regions));
    }
    const int in_region = (scenario_.daemons - region + regions - 1) / regions;
    const int daemon =
        region + regions * static_cast<int>(random_.NextBelow(in_region));
    const auto urgency = random_.NextDouble() < 0.4 ? OfferUrgency::kUrgent
                                                    : OfferUrgency::kOther;
    TargetRateLimiter& limiter = limiters_[daemon];
    ++offers_;
    if (!limiter.TryAdmit(kTarget, urgency, At(now))) return;
    limiter.RecordSend(kTarget, At(now));
    arrivals_.push_back(now);
    responses_.emplace_back(now + kResponseTime, daemon);
  }

  void SendHeartbeat(int from, double now) {
    const auto reports = limiters_[from].Reports(At(now));
    const bool is_far_round = rounds_[from]++ % 4 == 0;
    const bool is_cut = now >= scenario_.cut_from && now < scenario_.cut_until;
    for (int to = 0; to < scenario_.daemons; ++to) {
      if (to == from) continue;
      if (to % 3 != from % 3 && !is_far_round) continue;
      if (is_cut && to % 2 != from % 2) continue;
      if (random_.NextDouble() < scenario_.heartbeat_loss) continue;
      limiters_[to].RecordPeerReports(std::to_string(from), reports, At(now));
    }
  }

  FleetScenario scenario_;
  Random random_;
  std::vector<TargetRateLimiter> limiters_;
  std::vector<double> next_heartbeat_;
  std::vector<int> rounds_;
  std::vector<double> arrivals_;
  int offers_ = 0;
  std::vector<std::pair<double, int>> responses_;  // time and daemon
};

/** Largest number of requests in 4 s that the operators allow. */
double AllowedArrivals(double limit) { return 1.5 * 4 * limit + 5; }

/** Time from the first response with a limit after which it is enforced. */
constexpr double kSettleSeconds = 3;

TEST_GROUP(TargetRateLimiter) {
  TargetRateLimiter limiter{TargetRateLimiter::Options{}};

  int CountAdmitted(int offers, double from, double interval) {
    int admitted = 0;
    for (int i = 0; i < offers; ++i) {
      const TimePoint now = At(from + i * interval);
      if (!limiter.TryAdmit(kTarget, OfferUrgency::kUrgent, now)) continue;
      limiter.RecordSend(kTarget, now);
      ++admitted;
    }
    return admitted;
  }

  void CheckFleet(const FleetScenario& scenario, int seeds) {
    for (int seed = 1; seed <= seeds; ++seed) {
      LimitedFleet fleet(scenario, seed);
      fleet.Run();
      const int arrivals = fleet.MaxArrivals(kSettleSeconds);
      CHECK_TEXT(
          arrivals <= AllowedArrivals(scenario.limit),
          absl::StrCat("seed ", seed, ": ", arrivals, " requests in 4 s, ",
                       scenario.daemons, " daemons, limit ", scenario.limit,
                       ", demand ", scenario.demand)
              .c_str());
    }
  }
};

TEST(TargetRateLimiter, TargetWithoutALimit_AdmitsEverything) {
  LONGS_EQUAL(200, CountAdmitted(200, 0, 0.01));
}

TEST(TargetRateLimiter, FleetOverTheLimit_StaysWithinIt) {
  for (const int daemons : {1, 2, 11, 24, 60}) {
    for (const double limit : {0.5, 1.6, 3.5, 6.4, 30.0}) {
      for (const double overload : {0.8, 2.0, 6.0}) {
        CheckFleet(
            {.daemons = daemons, .limit = limit, .demand = limit * overload},
            4);
      }
    }
  }
}

TEST(TargetRateLimiter, LostHeartbeats_KeepTheFleetWithinTheLimit) {
  CheckFleet({.heartbeat_loss = 0.5}, 20);
  CheckFleet({.daemons = 60, .heartbeat_loss = 0.5}, 20);
}

TEST(TargetRateLimiter, DividedFleet_StaysWithinTheLimitTogether) {
  CheckFleet({.cut_from = 10, .cut_until = 30}, 20);
  CheckFleet({.daemons = 60, .cut_from = 10, .cut_until = 30}, 10);
  CheckFleet({.cut_from = 0, .cut_until = 40}, 20);
}

TEST(TargetRateLimiter, DemandBeyondTheLimit_UsesMostOfTheLimit) {
  for (const int daemons : {1, 11, 60}) {
    LimitedFleet fleet({.daemons = daemons, .limit = 4, .demand = 12}, 3);
    fleet.Run();
    CHECK_TRUE(fleet.Rate(5) >= 0.8 * 4);
  }
}

TEST(TargetRateLimiter, DemandWithinTheLimit_IsAdmitted) {
  LimitedFleet fleet({.limit = 10, .demand = 5}, 3);
  fleet.Run();
  CHECK_TRUE(fleet.AdmittedShare() >= 0.98);
}

TEST(TargetRateLimiter, OtherRequests_AreHeldBackBeforeUrgentOnes) {
  limiter.RecordResponse(kTarget, 10, At(0));
  int urgent = 0;
  int other = 0;
  for (double now = 0; now < 20; now += 0.1) {
    const bool is_urgent_sent =
        limiter.TryAdmit(kTarget, OfferUrgency::kUrgent, At(now));
    if (is_urgent_sent) limiter.RecordSend(kTarget, At(now));
    const bool is_other_sent =
        limiter.TryAdmit(kTarget, OfferUrgency::kOther, At(now));
    if (is_other_sent) limiter.RecordSend(kTarget, At(now));
    if (now < 5) continue;
    urgent += is_urgent_sent ? 1 : 0;
    other += is_other_sent ? 1 : 0;
  }
  CHECK_TRUE(urgent > 4 * other);
  CHECK_TRUE(other > 0);
}

TEST(TargetRateLimiter, RequestsPassedOn_TakeNothingFromThoseAtTheirPlace) {
  limiter.RecordResponse(kTarget, 5, At(0));
  int passed_on = 0;
  int at_their_place = 0;
  for (double now = 0; now < 20; now += 0.05) {
    // Twice the limit is passed on, and half of it belongs here.
    for (int i = 0; i < 2; ++i) {
      if (!limiter.TryAdmit(kTarget, OfferUrgency::kPassedOn, At(now)))
        continue;
      limiter.RecordSend(kTarget, At(now));
      ++passed_on;
    }
    if (static_cast<int>(now / 0.05) % 8 != 0) continue;
    if (!limiter.TryAdmit(kTarget, OfferUrgency::kOther, At(now))) continue;
    limiter.RecordSend(kTarget, At(now));
    ++at_their_place;
  }
  CHECK_TRUE(at_their_place >= 0.8 * 2.5 * 20);
  CHECK_TRUE(passed_on > 0);
}

TEST(TargetRateLimiter, ResponseWithoutALimit_EndsIt) {
  limiter.RecordResponse(kTarget, 1, At(0));
  CHECK_TRUE(CountAdmitted(100, 0, 0.02) < 10);
  limiter.RecordResponse(kTarget, std::nullopt, At(10));
  LONGS_EQUAL(100, CountAdmitted(100, 10, 0.02));
}

TEST(TargetRateLimiter, LimitOfZero_StillLetsATargetSayThatItHasEnded) {
  limiter.RecordResponse(kTarget, 0, At(0));
  const int admitted = CountAdmitted(2000, 0, 0.01);
  CHECK_TRUE(admitted >= 2);
  CHECK_TRUE(admitted <= AllowedArrivals(0) * 5);
}

TEST(TargetRateLimiter, PeersReport_TellsOfALimitAndOfItsEnd) {
  limiter.RecordPeerReports(
      "peer", {{kTarget, {.limit = 2, .age = std::chrono::seconds(1)}}},
      At(10));
  DOUBLES_EQUAL(2, *limiter.Limit(kTarget), 1e-9);
  // Older news than what is known changes nothing.
  limiter.RecordPeerReports(
      "other", {{kTarget, {.age = std::chrono::seconds(2)}}}, At(10));
  CHECK_TRUE(limiter.Limit(kTarget).has_value());
  limiter.RecordPeerReports(
      "other", {{kTarget, {.age = std::chrono::milliseconds(100)}}}, At(11));
  CHECK_FALSE(limiter.Limit(kTarget).has_value());
}

TEST(TargetRateLimiter, PeersReports_CountUntilReplacedOrExpired) {
  const auto report_sends = [&](int sends, double at) {
    limiter.RecordPeerReports(
        "peer", {{kTarget, {.limit = 2, .recent_sends = sends}}}, At(at));
  };
  report_sends(8, 10);
  DOUBLES_EQUAL(8, limiter.FleetSends(kTarget, At(10)), 1e-9);
  report_sends(3, 11);
  DOUBLES_EQUAL(3, limiter.FleetSends(kTarget, At(11)), 1e-9);
  DOUBLES_EQUAL(3, limiter.FleetSends(kTarget, At(14)), 1e-9);  // outdated
  report_sends(5, 15);
  DOUBLES_EQUAL(5, limiter.FleetSends(kTarget, At(15)), 1e-9);
  DOUBLES_EQUAL(0, limiter.FleetSends(kTarget, At(25.1)), 1e-9);  // expired
  report_sends(4, 26);
  limiter.RecordPeerReports("peer", {}, At(27));
  DOUBLES_EQUAL(0, limiter.FleetSends(kTarget, At(27)), 1e-9);
}

TEST(TargetRateLimiter, RefusedCaller_IsToldATimeThatFitsTheLimit) {
  limiter.RecordResponse(kTarget, 2, At(0));
  CountAdmitted(500, 0, 0.02);
  const Duration delay =
      limiter.TimeUntilAdmission(kTarget, OfferUrgency::kUrgent, At(10));
  CHECK_TRUE(delay > Duration::zero());
  CHECK_TRUE(delay <= std::chrono::seconds(1));
}

}  // namespace
}  // namespace greengage
