#ifndef GG_REQUEST_ADMISSION_H_
#define GG_REQUEST_ADMISSION_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gg_core/enum_names.h"
#include "gg_core/random.h"
#include "gg_core/time.h"
#include "gg_request/recent_maximum.h"
#include "gg_request/service_times.h"

namespace greengage {

struct RouteRule;
struct TenantRule;

/** Outcome of an admission decision; all but the first refuse the request. */
enum class AdmissionReason {
  kAdmitted,
  kTargetFull,     // the target has reached the fixed ceiling
  kNoTime,         // no answer is possible within the caller's time
  kLate,           // the slots are needed for answers that can be in time
  kExcessDemand,   // this daemon's share of the targets is in use
  kLowerPriority,  // more urgent demand uses the capacity
  kTenantShare,    // the tenant has had its share of the capacity
};

inline constexpr EnumNames<AdmissionReason, 7> kAdmissionReasonNames{
    {"admitted", "all_targets_full", "no_time_for_an_answer",
     "late_while_targets_busy", "excess_demand", "lower_priority",
     "tenant_share_used"}};

/** Targets of a service in one region: known requests and slots. */
struct TargetPoolLoad {
  double own_requests = 0;  // of this daemon
  double requests = 0;      // of all daemons, as far as known
  double slots = 0;
};

/** A request, and the target that it would be sent to. */
struct AdmissionRequest {
  const RouteRule* route = nullptr;
  const TenantRule* tenant = nullptr;  // nullptr: none
  std::string_view service;
  std::string_view region;  // of the targets
  bool is_remote = false;   // that is not the region of this daemon
  bool has_highest_priority = true;
  ObjectKnowledge knowledge = ObjectKnowledge::kNew;
  TargetPoolLoad pool;
  double target_requests = 0;  // known to be at the target
  double target_slots = 1;
  double pace = 1;       // see TargetLoad::pace
  Duration time_used{};  // since the request arrived
  Duration time_left{};  // for which the caller waits; zero: unknown
  int sender_count = 1;  // daemons that may be sending to the targets
};

struct AdmissionDecision {
  AdmissionReason reason = AdmissionReason::kAdmitted;
  /** Expected time in the target's queue. */
  Duration wait{};
  /** Demand of this daemon divided by what its share of the targets serves; at
      least 1. */
  double demand_ratio = 1;

  bool is_admitted() const { return reason == AdmissionReason::kAdmitted; }
};

/** An answer of a target. */
struct AdmissionOutcome {
  std::string_view route;
  std::string_view service;
  std::string_view region;
  bool is_remote = false;
  ObjectKnowledge knowledge = ObjectKnowledge::kNew;
  Duration wait{};           // see AdmissionDecision::wait
  Duration response_time{};  // since it was sent to the target
  double pace = 1;           // that the target reported
};

/** Decides whether a request is sent to its target now or refused now.

    Load pattern: callers send several times what the targets can serve. If
    requests queue up to a fixed length, all answers are late.

    A request is predicted to wait for the requests ahead of it and then to take
    as long as recent answers of its route. While its target is busy, it is
    admitted if it will probably be answered within the latency objective, and
    if its waiting leaves the most impatient route of the service its objective:
    targets serve requests in the order of arrival.

    What is known of other daemons' requests is up to a few seconds old, and
    many daemons that see the same free slot would fill it together. Each daemon
    therefore also bounds its own requests in flight by its average share of the
    targets' slots, which needs no newer information. When its demand exceeds
    that share, it is admitted by the tenant's priority, then by the route's,
    and among equals by equal shares of the tenants. Traffic thread only. */
class Admission {
 public:
  struct Options {
    /** Whether answers are predicted. If not, only the ceiling applies. */
    bool is_predictive = true;
    /** Requests per slot from which a target gets no more in any case. */
    double full_utilization = 2.2;
    /** Reduction of `full_utilization` for routes of lower priority than the
        highest of the same service. It reserves one place for the highest
        priority on a target of three slots, so that under overload those
        requests are refused last. */
    double low_priority_reduction = 0.3;
    /** Probability of an answer within the objective below which a request
        counts as late. */
    double min_in_time_probability = 0.5;
    /** Time from a caller to this daemon and back, with the forwarding. */
    Duration caller_round_trip = std::chrono::milliseconds(20);
    /** Additional time of an answer from another region. */
    Duration remote_round_trip = std::chrono::milliseconds(70);
    /** Service time of a route without answers, as a fraction of its latency
        objective. Current deployments have 0.35 to 0.45 for objects that the
        target knows. */
    double default_service_fraction = 0.45;
    /** Mean requests per slot of a region's targets from which they count as
        busy. Below, all requests are served that can be answered at all. */
    double busy_utilization = 0.8;
    /** Increase above `busy_utilization` over which the fraction of late
        requests that are refused rises from none to all. All are refused while
        the demand exceeds this daemon's share of the targets. */
    double busy_ramp = 0.4;
    /** Fraction of the tolerable queue that is used on average. The rest is for
        the uneven load of the targets. */
    double mean_queue_fraction = 0.8;
    /** Demand that is admitted by priority and tenant, relative to this
       daemon's share of the targets. The excess makes up for busy targets:
       objects are spread unevenly, and a part of them is refused at their
       targets. */
    double admitted_demand = 1.6;
    /** Whether the time that a caller spent before its request arrived counts
        towards the objective. It is taken from the caller's remaining time: a
        request that was refused before has less than others of its route. */
    bool counts_earlier_time = true;
    /** Demand of a class of requests is averaged over this time. */
    Duration demand_time_constant = std::chrono::milliseconds(500);
    /** The fraction of the requests of one urgency that is admitted is averaged
        over this time. */
    Duration admitted_time_constant = std::chrono::seconds(2);
    /** The share of this daemon is averaged over this time. */
    Duration share_time_constant = std::chrono::seconds(4);
    uint64_t seed = 1;
  };

  /** Returns options with which late requests are refused only where the queues
      are much longer. For deployments where a late answer has a value, and many
      answers count beside timely ones. */
  static Options LateTolerantOptions() {
    Options options;
    options.busy_utilization = 1.2;
    options.busy_ramp = 0.8;
    return options;
  }

  explicit Admission(Options options)
      : options_(options), random_(options.seed) {}

  /** Records that a request arrived, once for each request. */
  void RecordArrival(const AdmissionRequest& request, TimePoint now);

  /** Decides about a request that was recorded before. */
  AdmissionDecision Decide(const AdmissionRequest& request, TimePoint now);

  /** Records the answer to a request that was sent. */
  void RecordOutcome(const AdmissionOutcome& outcome, TimePoint now);

 private:
  /** Average with an exponentially decaying weight. */
  struct Average {
    double value = 0;
    TimePoint at{};
  };
  /** Priorities of tenant and route; smaller is more urgent. */
  using Urgency = std::pair<int, int>;
  /** Arrivals per second, by tenant. */
  using TenantRates = std::map<std::string, Average, std::less<>>;

  /** Requests of one urgency. */
  struct Demand {
    TenantRates rates;  // of requests that can be in time
    Average arrived;
    Average admitted;
  };

  /** State for the targets of one service in one region. */
  struct Pool {
    std::map<Urgency, Demand> demand;
    Average own_requests;
    Average requests;
    Average response_seconds;
    /** Longest tolerable time in the queue, by route, with the time of the
        route's last request. */
    std::map<std::string, std::pair<Duration, TimePoint>, std::less<>> waits;
  };

  Pool& PoolOf(std::string_view service, std::string_view region);
  /** Returns the time that the caller spent before the request arrived. */
  Duration EarlierTime(const AdmissionRequest& request, TimePoint now);
  /** Returns the time in which the target has to answer to be in time. */
  Duration TimeForAnswer(const AdmissionRequest& request, TimePoint now);
  Duration ServiceTime(const AdmissionRequest& request) const;
  double InTimeProbability(const AdmissionRequest& request,
                           Duration limit) const;
  /** Returns the longest time in the queue that leaves each route with demand
      its objective. */
  Duration MaxWait(Pool* pool, TimePoint now) const;
  /** Returns the requests per slot that the targets of a pool have on average
      when they are in full use. */
  double MeanLoadLimit(const AdmissionRequest& request, Duration max_wait,
                       double mean_seconds) const;
  /** Returns the part of the targets' load that is this daemon's. */
  double OwnFraction(const AdmissionRequest& request, const Pool& pool) const;
  /** Decides by priority and tenant whether the request belongs to the part of
      the demand that is admitted.
      @param capacity  that is available, in requests per second. */
  AdmissionReason CheckOrder(const AdmissionRequest& request, const Pool& pool,
                             double capacity, TimePoint now);
  /** Returns the fraction of the tenant's demand that is admitted when the
      requests of its urgency get `capacity` requests per second. */
  double TenantFraction(const TenantRates& rates, std::string_view tenant,
                        double capacity, TimePoint now) const;
  double TotalRate(const TenantRates& rates, TimePoint now) const;
  double Decayed(const Average& average, Duration time_constant,
                 TimePoint now) const;
  void Count(Average* average, Duration time_constant, TimePoint now) const;
  void Blend(Average* average, double value, TimePoint now) const;

  Options options_;
  std::map<std::string, Pool, std::less<>> pools_;  // by service and region
  ServiceTimes service_times_;
  /** Longest time that callers wait, by route. */
  std::map<std::string, RecentMaximum, std::less<>> time_limits_;
  Random random_;
};

}  // namespace greengage

#endif  // GG_REQUEST_ADMISSION_H_
