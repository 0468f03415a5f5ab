#ifndef GG_REQUEST_TARGET_PICKER_H_
#define GG_REQUEST_TARGET_PICKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gg_core/random.h"
#include "gg_request/arrival_rate.h"
#include "gg_request/cold_target_limiter.h"
#include "gg_request/object_distribution.h"
#include "gg_request/region_plan.h"
#include "gg_request/target_status_table.h"
#include "gg_request/weighted_round_robin.h"

namespace greengage {

struct RouteRule;

/** Why no target can take a request. */
enum class NoTargetReason { kNone, kNoneUsable, kAllFull };

inline constexpr EnumNames<NoTargetReason, 3> kNoTargetReasonNames{
    {"none", "no_usable_target", "all_targets_full"}};

/** What is asked of the picker. */
struct PickRequest {
  const RouteRule* route = nullptr;
  std::string_view service;
  std::string_view object;    // empty: none
  std::vector<size_t> tried;  // rows that are not to be used again
  std::string region;         // of an earlier try, or empty
};

/** The picker's answer. */
struct Pick {
  std::optional<size_t> row;
  std::string region;  // where the request is to run
  NoTargetReason reason = NoTargetReason::kNone;
  bool is_first_choice = false;  // the object's first target
  /** Requests against slots at the target that was too full; 0: there is none.
   */
  double refused_utilization = 0;
};

/** Chooses the target of a request.

    Load pattern: an object's requests run three times faster at a target that
    handled it lately, and targets remember a few dozen objects. Each object
   goes to few targets of a region, the same ones from every daemon (rendezvous
    hashing), to the next in its order only when those are busy. The region is
    dealt out by a plan that changes slowly, and an object keeps to few regions.
    Traffic thread only. */
class TargetPicker {
 public:
  struct Options {
    std::string self;    // name of this daemon
    std::string region;  // of this daemon
    std::vector<std::string> regions;
    uint64_t seed = 1;
    /** Requests at a target against its slots below which nothing waits there,
        with one slot's room for what other daemons have just sent. */
    double wait_free_utilization = 0.8;
    /** The same, up to which an object stays with the targets that know it: the
        answer is still in time there, at 2.2 to 2.5 times the work on a known
        object on the deployments of today, while the work on an unknown one
        takes longer than the objective by itself. */
    double max_affinity_utilization = 2.1;
    /** The same, up to which another target takes the object over. */
    double max_spillover_utilization = 0.6;
    /** The same, above which nothing more is sent to a target. */
    double full_utilization = 2.2;
    /** How much lower it is for routes that are less urgent than the most
        urgent one of the same service. A target of three slots so keeps one
        place for the urgent, and under overload they are turned away last. */
    double low_priority_reduction = 0.3;
    /** Part of a region's targets below which all stay in use although they
        failed lately: fewer could not carry its load, and would fail next. */
    double min_healthy_fraction = 0.7;
    /** How far beyond the piece of the objects' line that is a region's share
        its objects may lie, at one request a second; less by the root of the
        region's rate, as the scatter of shares is. A wide margin keeps shares
        steady; a narrow one keeps an object in one region. In a simulation of
        four daemons with 40 requests a second 0.3 let shares differ by the
        operators' cap of 0.15 in one of 1,500 pairs of windows, and 0.2 with 80
        a second in none. */
    double region_margin = 1.9;
    double cold_allowance = 0;  // see ColdTargetLimiter
  };

  TargetPicker(Options options, TargetStatusTable* targets);

  /** Sets another slack for cold targets; see ColdTargetLimiter. */
  void SetColdAllowance(double allowance) {
    cold_limiter_.SetAllowance(allowance);
  }

  /** Sets a new view. The table must have it already. */
  void SetView(FleetViewPtr view);

  /** Chooses, and takes from the cold target's share where one is chosen. */
  Pick Choose(const PickRequest& request, TimePoint now);

 private:
  struct ServicePlan {
    std::map<std::string, RegionLoad> regions;
    ShareLimiter limiter{ShareLimiter::Options{}};
    WeightedRoundRobin round_robin;
    ObjectDistribution object_distribution{ObjectDistribution::Options{}};
  };

  std::string ChooseRegion(const PickRequest& request, TimePoint now);
  std::vector<bool> RegionsNear(const std::vector<double>& weights,
                                double position, double margin) const;
  std::vector<size_t> Candidates(const PickRequest& request,
                                 const std::string& region, TimePoint now);
  std::vector<size_t> WithoutEjected(const std::vector<size_t>& candidates,
                                     TimePoint now) const;
  bool IsUsable(size_t row, const PickRequest& request, TimePoint now);
  double ColdRate(const TargetStatus& row) const;
  double FullUtilization(const PickRequest& request) const;
  double LoadCost(const TargetStatus& row, TimePoint now) const;
  size_t PickForObject(const std::vector<size_t>& ordered, uint64_t object,
                       TimePoint now) const;
  size_t PickLeastLoaded(const std::vector<size_t>& candidates, TimePoint now);

  Options options_;
  TargetStatusTable* targets_;  // not owned
  FleetViewPtr view_;
  /** Rank of the most urgent route, by service. */
  std::map<std::string, int, std::less<>> highest_priority_;
  std::map<std::string, ServicePlan> plans_;  // by service and home regions
  ArrivalRate arrival_rate_{ArrivalRate::Options{}};  // of all services
  ColdTargetLimiter cold_limiter_;
  Random random_;
};

}  // namespace greengage

#endif  // GG_REQUEST_TARGET_PICKER_H_
