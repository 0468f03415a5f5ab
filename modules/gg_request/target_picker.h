#ifndef GG_REQUEST_TARGET_PICKER_H_
#define GG_REQUEST_TARGET_PICKER_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gg_core/random.h"
#include "gg_request/admission.h"
#include "gg_request/arrival_rate.h"
#include "gg_request/cold_target_limiter.h"
#include "gg_request/home_regions.h"
#include "gg_request/object_distribution.h"
#include "gg_request/region_plan.h"
#include "gg_request/send_permission.h"
#include "gg_request/slow_average.h"
#include "gg_request/target_rate_limiter.h"
#include "gg_request/target_status_table.h"
#include "gg_request/weighted_round_robin.h"
#include "gg_request/zone_placement.h"

namespace greengage {

struct RouteRule;
struct TenantRule;

/** Why no target can take a request. */
enum class NoTargetReason {
  kNone,
  kNoneUsable,
  kAllFull,
  kRateLimited,
  kAllPaused,
  kNotAdmitted  // see Pick::admission
};

inline constexpr EnumNames<NoTargetReason, 6> kNoTargetReasonNames{
    {"none", "no_usable_target", "all_targets_full", "targets_rate_limited",
     "targets_paused", "not_admitted"}};

/** Describes a request for which a target is to be chosen. */
struct PickRequest {
  const RouteRule* route = nullptr;
  HomeRegions home_regions;
  const TenantRule* tenant = nullptr;  // nullptr: none
  std::string_view service;
  std::string_view object;    // empty if it concerns no object
  std::vector<size_t> tried;  // rows to which it was already sent
  std::string region;         // of an earlier attempt, or empty
  Duration time_used{};       // since the request arrived
  Duration time_left{};       // for which the caller waits; zero: unknown
};

/** Target chosen for a request, or the reason why there is none. */
struct Pick {
  std::optional<size_t> row;
  std::string region;  // in which the request is to run
  NoTargetReason reason = NoTargetReason::kNone;
  bool is_first_choice = false;  // first in the object's order of targets
  /** Age of the information about the target's load. */
  Duration load_age{};
  /** Chosen at random because the load is uncertain, instead of the first
     target of the object or the one that seemed best. */
  bool is_corrected = false;
  /** Requests per slot at the target that was full; 0 if there is no usable
      target. */
  double refused_utilization = 0;
  /** Targets that were passed over because of their rate limits. */
  int rate_limited_targets = 0;
  /** Of a request that no target admits because of rate limits or pauses: time
      until one is expected to. */
  Duration admission_delay{};
  /** Of a request without a usable target: how many targets of the service are
      barred, by SendBarrier. */
  std::array<int, kSendBarrierCount> barred_targets{};
  /** Of a request that a target could take: whether it is admitted. */
  AdmissionDecision admission;
  /** What was known of the object at the chosen target. */
  ObjectKnowledge knowledge = ObjectKnowledge::kNew;

  /** Returns the reason of a refusal, as callers, log and metrics have it. */
  std::string_view reason_name() const {
    return reason == NoTargetReason::kNotAdmitted
               ? kAdmissionReasonNames.Name(admission.reason)
               : kNoTargetReasonNames.Name(reason);
  }
};

/** Chooses the target of a request.

    Load pattern: requests for an object run three times faster at a target that
    handled the object recently, and a target remembers a few dozen objects.
    Each object is therefore sent to few targets of a region, chosen by
    rendezvous hashing and thus equal on every daemon. It goes to the next
    target in its order only when the preferred ones are busy. The region is
    chosen by planned shares that change slowly, and an object is kept in few
    regions. Traffic thread only. */
class TargetPicker {
 public:
  struct Options {
    std::string self;    // name of this daemon
    std::string region;  // of this daemon
    std::vector<std::string> regions;
    uint64_t seed = 1;
    /** Requests per slot at a target below which a request does not wait there.
        Leaves one slot for requests that other daemons have just sent. */
    double no_wait_utilization = 0.8;
    /** Utilization up to which an object stays with the targets that have
        handled it. On current deployments the latency objective is 2.2 to 2.5
        times the service time of such an object, so the answer is still in
        time. The service time of an object that is new to the target exceeds
        the objective by itself. */
    double max_affinity_utilization = 2.1;
    /** Utilization up to which another target takes over the object. If a rate
        limit keeps the object from its first target, also the mean utilization
        of the targets without a limit. */
    double max_spillover_utilization = 0.6;
    /** Position in an object's order from which a target with a rate limit does
        not take over the object. Each answer for an object that is new to the
        target uses up a part of the limit and is late. */
    size_t max_limited_spillover_rank = 3;
    /** When requests are refused. */
    Admission::Options admission;
    /** LoadUncertainty() from which targets are chosen so that daemons with the
        same old information choose different ones. Below it, the best of all
        targets is chosen. */
    double max_certain_uncertainty = 0.25;
    /** Of two random targets, the second is chosen if it has this many requests
        per slot less than the first, times the uncertainty. Without a margin,
        all daemons send to the targets that seemed idle in the last heartbeats,
        and the load swings. With 1.0 it does at 1,000 daemons and heartbeats
        every 2 s. */
    double random_choice_margin = 2.0;
    /** Utilization at which an object's requests all go on to the next of its
        targets, when the load is uncertain. Below it, a fraction of them does.
       A limit at one value makes the load swing between the object's targets.
     */
    double spread_utilization = 1.2;
    /** Maximum number of targets among which an object is spread when the load
        is uncertain; 1: none is spread. In a simulation three even the load
        most. On deployments, where few objects are requested often, a larger
        part of the requests then met targets that were new to the object, and 1
        to 2 in 100 requests fewer were in time. */
    size_t max_object_copies = 1;
    /** Number of objects per target up to which objects are spread. Targets
        remember ten or more, and those of other regions' callers come in
        addition. Objects that are forgotten take three times as long. */
    double max_objects_per_target = 6;
    /** Number of requests from which this daemon can tell the number of
       objects; before, objects are not spread. Fewer requests are nearly all
       for different objects, however many there are. */
    double min_requests_to_spread = 24;
    /** Fraction of a region's targets below which ejected targets stay in use:
        fewer targets could not carry the load and would fail next. */
    double min_healthy_fraction = 0.7;
    /** Distance from the interval of a region's share within which objects may
        run in that region (see ObjectDistribution), at one request per second.
        It is divided by the square root of the region's request rate, because
        the random variation of shares decreases likewise. A wide margin keeps
        the shares steady; a narrow one keeps an object in one region. In a
        simulation of four daemons, the shares of one in 1,500 pairs of windows
        differ by the operators' limit of 0.15 at 40 requests per second (a
        margin of 0.3), and of none at 80 per second (0.2). */
    double region_margin = 1.9;
    double cold_allowance = 0;  // see ColdTargetLimiter
    /** How long a target that says that it is leaving may still be sent
        requests. They go there only if no other target is usable. */
    Duration drain_time{};
    /** Response time of a service without responses so far. */
    Duration default_response_time = std::chrono::milliseconds(300);
    /** Default: zones are alike. Preferring the own zone lowers the bytes
        between zones, but an object then runs in each zone of a region, and on
        whole deployments callers lost 5 to 16 in 100 of the value. */
    ZonePlacement::Options zones;
    LocalUtilizationOptions local_utilization;
  };

  /** Creates a picker.
      @param targets  the status table; not owned, must outlive the picker. */
  TargetPicker(Options options, TargetStatusTable* targets);

  /** Sets another allowance for cold targets; see ColdTargetLimiter. */
  void SetColdAllowance(double allowance) {
    cold_limiter_.SetAllowance(allowance);
  }

  /** Sets another time to drain; see Options::drain_time. */
  void SetDrainTime(Duration time) { options_.drain_time = time; }

  /** Sets a new view. The status table must have been given the same view
      before. */
  void SetView(FleetViewPtr view);

  /** Records the response time of a target of `service` that had handled the
      object. It tells how many slots a rate limit is worth. */
  void RecordResponseTime(const std::string& service, Duration time);

  /** Records the answer to a request; see Admission. */
  void RecordOutcome(const PickRequest& request, const Pick& pick,
                     Duration response_time, TimePoint now);

  /** Returns the limiter of the targets that name rate limits. */
  TargetRateLimiter& rate_limiter() { return rate_limiter_; }

  /** Returns whether this daemon may send a request to the target in `row` at
      all. A failing target's ejection and a target's rate limit are weighed
      against the other targets instead, by Choose(). */
  SendPermission PermissionToSend(size_t row, TimePoint now);

  /** Chooses the target of a request. If the target is cold, takes one request
      from this daemon's share for it. A target that has reached its rate limit
      is passed over for the next one in the object's order, in the same region.
      Does not record an attempt in the status table. */
  Pick Choose(const PickRequest& request, TimePoint now);

 private:
  struct ServicePlan {
    std::map<std::string, RegionLoad> regions;
    ShareLimiter limiter{ShareLimiter::Options{}};
    /** Fraction of all regions' slots in use. It starts at 1, so that a daemon
        that knows no load yet plans equal load. */
    SlowAverage utilization{{.initial = 1}};
    WeightedRoundRobin round_robin;
    ObjectDistribution object_distribution{ObjectDistribution::Options{}};
  };

  std::string ChooseRegion(const PickRequest& request, TimePoint now);
  std::vector<bool> RegionsNear(const std::vector<double>& weights,
                                double position, double margin) const;
  /** Returns the candidates in the region named by `region`, or else in
      another one, whose name replaces it. */
  std::vector<size_t> CandidatesInAnyRegion(const PickRequest& request,
                                            std::string* region, TimePoint now);
  /** Returns the usable targets of a region, in the order of the request's
      object.
      @param is_last_resort  selects the leaving targets instead of the
             others. */
  std::vector<size_t> Candidates(const PickRequest& request,
                                 const std::string& region, bool is_last_resort,
                                 TimePoint now);
  /** Returns the candidates with those of the request's zone first. */
  std::vector<size_t> ZoneFirst(const PickRequest& request,
                                const std::vector<size_t>& candidates,
                                TimePoint now);
  /** Returns whether the target counts as capacity of its region. */
  bool HasCapacity(const TargetStatus& row, TimePoint now) const;
  std::vector<size_t> WithoutEjected(const std::vector<size_t>& candidates,
                                     TimePoint now) const;
  /** Returns whether the target may serve the request, apart from its
      state. */
  bool IsEligible(size_t row, const PickRequest& request) const;
  /** Records in `pick` why no target is usable. */
  void ExplainNoneUsable(const PickRequest& request, TimePoint now, Pick* pick);
  double ColdRate(const TargetStatus& row) const;
  /** Returns the slots of a target that can be used within its rate limit. */
  double Capacity(const TargetStatus& row) const;
  /** Describes a request and one of its candidates to the admission. */
  AdmissionRequest DescribeForAdmission(const std::vector<size_t>& candidates,
                                        const PickRequest& request,
                                        size_t position, TimePoint now);
  double LoadCost(const TargetStatus& row, TimePoint now) const;
  /** Returns the target's utilization, by its slots or by its rate limit,
      whichever is higher. */
  double Utilization(size_t row, TimePoint now);
  /** Returns the mean utilization of the candidates without a rate limit; 0 if
      all have one. */
  double MeanUnlimitedUtilization(const std::vector<size_t>& candidates,
                                  TimePoint now) const;
  /** Returns the usual response time of a service, in seconds. */
  double ResponseSeconds(const std::string& service) const;
  /** Returns how often the requests at the candidates have been replaced by
      others since the information about them, on average: the age of the
      information divided by the response time. This daemon's own requests count
      as known. */
  double LoadUncertainty(const std::vector<size_t>& candidates,
                         TimePoint now) const;
  /** Returns among how many targets each object may be spread. */
  size_t ObjectCopies(const PickRequest& request, size_t targets) const;
  /** Returns one of the first `copies` targets of an object, at random and more
      likely an early and less busy one, or another one that has handled the
      object; nothing if all are busy. */
  std::optional<size_t> PickSpread(const std::vector<size_t>& ordered,
                                   size_t copies, uint64_t object,
                                   double uncertainty, TimePoint now);
  /** Returns the better one of two random candidates. */
  size_t BetterOfTwo(const std::vector<size_t>& candidates, double uncertainty,
                     TimePoint now);
  /** Returns the target for an object: the first one in its order, another one
      that has handled it, or one with little load. Returns nothing when the
      first one was passed over and all that are left, or those without a rate
      limit on average, are busy.
      @param is_passed_over  by position: the target did not admit the
             request. */
  std::optional<size_t> PickForObject(const std::vector<size_t>& ordered,
                                      const std::vector<bool>& is_passed_over,
                                      const PickRequest& request, TimePoint now,
                                      Pick* pick);
  std::optional<size_t> PickLeastLoaded(const std::vector<size_t>& candidates,
                                        const std::vector<bool>& is_passed_over,
                                        TimePoint now, Pick* pick);
  /** Returns the preferred one of the targets that admit the request, or
      nothing, with the reason in `pick`. */
  std::optional<size_t> PickAdmitting(const std::vector<size_t>& candidates,
                                      const PickRequest& request, TimePoint now,
                                      Pick* pick);
  bool HasHighestPriority(const PickRequest& request) const;

  Options options_;
  TargetStatusTable* targets_;  // not owned
  FleetViewPtr view_;
  /** Priority value of the most urgent route (the smallest), by service. */
  std::map<std::string, int, std::less<>> highest_priority_;
  int highest_tenant_priority_ = 0;
  std::map<std::string, ServicePlan> plans_;  // by service and home regions
  ArrivalRate arrival_rate_{ArrivalRate::Options{}};  // of all services
  std::map<std::string, double> response_seconds_;    // average, by service
  ColdTargetLimiter cold_limiter_;
  TargetRateLimiter rate_limiter_;
  ZonePlacement zone_placement_;
  Admission admission_;
  Random random_;
};

}  // namespace greengage

#endif  // GG_REQUEST_TARGET_PICKER_H_
