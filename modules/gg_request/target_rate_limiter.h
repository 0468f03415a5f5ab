#ifndef GG_REQUEST_TARGET_RATE_LIMITER_H_
#define GG_REQUEST_TARGET_RATE_LIMITER_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "gg_core/random.h"
#include "gg_core/rate_limit_report.h"
#include "gg_request/fleet_load.h"

namespace greengage {

/** Urgency of a request that is offered to a rate-limited target. Less urgent
    ones get what the more urgent ones leave. */
enum class OfferUrgency {
  kUrgent,    // of the highest priority of its service, at its first choice
  kOther,     // of lower priority, at its first choice
  kPassedOn,  // another target has no room for it
};

inline constexpr size_t kOfferUrgencyCount = kDemandClassCount;

/** Keeps the requests of all daemons to a target within the rate that the
    target names.

    Load pattern: a target in need names a few requests per second, while a
    dozen or more daemons send to it. Equal shares would leave each daemon less
    than one request per second, and waste those of daemons without demand.

    Each daemon reports its demand and its recent requests. It admits the
    fraction of its own demand that the limit is of everybody's demand, so that
    no daemon needs a share of its own, and none has credit to store while it is
    idle. As demand is known with a delay, the requests that all daemons sent in
    the last few seconds are bounded as well. FleetLoad adds both up.

    A limit holds until a response without one. Targets are identified by the
    hash of their identifier and incarnation, as a restarted target knows
    nothing of its limit. Traffic thread only. */
class TargetRateLimiter {
 public:
  struct Options {
    uint64_t seed = 1;
    /** Time over which requests are counted. */
    Duration window = std::chrono::seconds(4);
    /** Time in which the weight of a request in the demand falls to 1/e. */
    Duration demand_time_constant = std::chrono::seconds(2);
    /** Age from which a daemon's last report is outdated: longer than the
        interval of heartbeats between regions of a large fleet. */
    Duration report_freshness = std::chrono::milliseconds(2500);
    /** How long an outdated report is taken into account. As long as a daemon
        that was removed from the store counts as a sender. */
    Duration report_lifetime = std::chrono::seconds(10);
    /** Lowest limit that is enforced, requests per second. A target that gets
        no request can't say that its limit has ended. */
    double min_limit = 0.25;
    /** Fraction of a limit that is kept for requests that are not urgent, so
        that they are not refused entirely. */
    double other_fraction = 0.1;
    /** Rate that is admitted while the window has room, as a multiple of the
        limit. Random variation of the demand would leave a part of the limit
        unused otherwise; the bound on the window holds the mean. */
    double pace = 1.1;
    /** Requests of all daemons in the window beyond those that the limit
       allows, for the random variation of arrivals: a fraction of them, and a
        number. */
    double window_tolerance = 0.15;
    double window_allowance = 2;
    /** Fraction of the window that is kept for more urgent requests, for each
        class that is less urgent. */
    double reserved_fraction = 0.1;
    /** Fraction of the limit that is left unused if all reports are as old as
        the window. */
    double staleness_reserve = 0.5;
    /** Requests that all daemons may pass on to a target at the same moment,
        before they hear of each other: a fraction of those that the limit
        allows in the window, and a number. */
    double burst_tolerance = 0.5;
    double burst_allowance = 3;
    /** Time without requests and responses after which a target is
        forgotten. */
    Duration target_lifetime = std::chrono::seconds(60);
  };

  explicit TargetRateLimiter(Options options);

  //==============================================================================
  /** Records the limit that a target's response names; nullopt: the response
      names none.
      @return the limit known before. */
  std::optional<double> RecordResponse(uint64_t target,
                                       std::optional<double> limit,
                                       TimePoint now);

  /** Replaces the reports of another daemon, by target. The newest response
      that any daemon received decides on a target's limit. */
  void RecordPeerReports(const std::string& host,
                         const std::map<uint64_t, RateLimitReport>& reports,
                         TimePoint now);

  /** Sets the upper bound on the daemons that may be sending, with this one. */
  void SetSenderCount(int count) {
    sender_count_ = count;
    load_.SetSenderCount(count);
  }

  /** Forgets the targets that were not used for a long time. */
  void Tick(TimePoint now);

  //==============================================================================
  /** Offers a request to a target, which counts as demand for it.
      @return whether the request may be sent; always true without a limit. */
  bool TryAdmit(uint64_t target, OfferUrgency urgency, TimePoint now);

  /** Records that an admitted request is sent. */
  void RecordSend(uint64_t target, TimePoint now);

  /** Returns the time after which this daemon expects to admit the next request
      of this urgency to the target. */
  Duration TimeUntilAdmission(uint64_t target, OfferUrgency urgency,
                              TimePoint now);

  //==============================================================================
  /** Returns the requests that all daemons sent in the window, divided by those
      that the limit allows; 0 without a limit. */
  double Utilization(uint64_t target, TimePoint now);

  /** Returns the target's limit, if it named one. */
  std::optional<double> Limit(uint64_t target) const;

  /** Returns what the other daemons need to know, by target: the targets with a
      limit, or without one lately, for which this daemon has any news. */
  std::map<uint64_t, RateLimitReport> Reports(TimePoint now);

  /** Returns an estimate of the requests that all daemons sent to the target in
      the window. */
  double FleetSends(uint64_t target, TimePoint now);

 private:
  struct Target {
    std::optional<double> limit;
    std::optional<TimePoint> limit_known_at;  // when its response was received
    /** Admitted requests that are due, a fraction of one, by OfferUrgency. */
    std::array<double, kOfferUrgencyCount> credit{};
    TimePoint used_at{};
  };

  Target& FindOrAdd(uint64_t target, TimePoint now);
  /** Returns the fraction of the demand that the limit admits. */
  double AdmittedFraction(const Target& target, const FleetLoad::Totals& totals,
                          OfferUrgency urgency) const;
  /** Returns the rate to which all daemons together are held. */
  double EnforcedLimit(const Target& target,
                       const FleetLoad::Totals& totals) const;
  /** Returns the bound on the requests of all daemons in the window. A part of
      it is kept for urgent requests. */
  double WindowBound(const Target& target, const FleetLoad::Totals& totals,
                     OfferUrgency urgency) const;

  Options options_;
  Random random_;
  int sender_count_ = 1;
  FleetLoad load_;
  std::map<uint64_t, Target> targets_;
};

}  // namespace greengage

#endif  // GG_REQUEST_TARGET_RATE_LIMITER_H_
