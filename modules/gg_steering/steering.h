#ifndef GG_STEERING_STEERING_H_
#define GG_STEERING_STEERING_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gg_core/enum_names.h"
#include "gg_core/host_id.h"
#include "gg_core/random.h"
#include "gg_core/time.h"
#include "gg_document/document.h"
#include "gg_steering/budget_table.h"
#include "gg_steering/member_record.h"
#include "gg_steering/order_key.h"
#include "gg_steering/order_ledger.h"
#include "gg_steering/ramp_plan.h"
#include "gg_steering/rate_limiter.h"
#include "gg_steering/retry_budget.h"
#include "gg_steering/shift_limiter.h"
#include "gg_steering/target_table.h"

namespace greengage {

/** Why a request was not admitted. In every case no byte of it left. */
enum class Refusal {
  kNone,
  kNotReady,        // no document, or no positions yet
  kControlStalled,  // the control thread has not run for too long
  kRegionFull,      // the region's budget binds
  kNoTarget,        // no target in the region can take work
  kRetrySpent,      // the retry budget is spent
};

inline constexpr EnumNames<Refusal, 6> kRefusalNames{
    {"none", "not_ready", "control_stalled", "region_full", "no_target",
     "retry_spent"}};

/** One request that asks for a target. */
struct AdmissionRequest {
  const ServiceSpec* service = nullptr;
  const RouteSpec* route = nullptr;
  std::string home_region;
  /** Region of an earlier attempt of the same request; "" for the first. */
  std::string retry_region;
  std::vector<size_t> tried_rows;
};

/** Right to make one attempt, from Admit() to Finish(). */
struct Admission {
  Refusal refusal = Refusal::kNone;
  Permit permit;
  size_t row = 0;
  std::string target_name;
  std::string target_address;
  std::string target_region;
  int64_t connection_limit = 0;

  bool is_admitted() const { return refusal == Refusal::kNone; }
};

/** Split in force at one daemon. */
struct Position {
  std::string service;
  std::string home;
  RegionSplit split;
};

/** Region in which no target of a service can take work. */
struct LostRegion {
  std::string service;
  std::string region;

  friend auto operator<=>(const LostRegion&, const LostRegion&) = default;
};

/** Standing of an idempotency key at this daemon. */
enum class KeyStatus {
  kOwn,      // issued by this process and valid
  kPeer,     // issued by another address: forward it there
  kExpired,  // issued by this process, and over
  kLost,     // issued by an earlier process at this address
  kForged,   // never issued
};

/** Everything that traffic threads ask before they act, behind one lock.

    The control thread feeds it (documents, plans, budgets, members), traffic
    threads ask it. No call blocks or does I/O. All methods may be called from
   any thread. */
class Steering {
 public:
  struct Options {
    HostId self;
    std::string traffic_address;
    std::string region;
    std::string zone;
    uint64_t seed = 1;
    uint64_t key_secret = 1;
    TimePoint started_at{};
    BudgetTable::Options budget;
    TargetTable::Options targets;
    OrderLedger::Options ledger;
    RetryBudget::Options retry;
    Duration key_lifetime = std::chrono::minutes(10);
    /** Silence of the control thread after which nothing is admitted. */
    Duration control_stall_timeout = std::chrono::seconds(2);
  };

  explicit Steering(Options options);

  //==============================================================================
  /** Puts a document in force. */
  void ApplyDocument(DocumentPtr document, uint64_t revision, TimePoint now);

  /** Takes positions to start from, for services that have none yet. */
  void InitializePositions(const std::vector<Position>& positions,
                           TimePoint now);

  /** Sets the plan that the splits follow; services without a position start at
      the plan's, or at the document's when the plan has none. */
  void ApplyPlan(const RampPlan& plan, TimePoint now);

  /** Sets this daemon's own permits in a region. */
  void SetOwnPermits(const std::string& region, int64_t permits);

  /** Sets this daemon's part of all links, 0 to 1. */
  void SetLinkShare(double share);

  void SetMembers(std::vector<MemberRecord> members);

  /** Moves splits, ends loans and forgets expired orders; called by the control
      thread each tick. */
  void Tick(TimePoint now);

  //==============================================================================
  std::optional<LoanOffer> Lend(const std::string& region, int64_t wanted,
                                TimePoint now);
  bool AddLoan(const Loan& loan, TimePoint now);
  RegionUsage Usage(const std::string& region) const;

  /** Returns how many requests the region's budget refused since the last call
      for that region. */
  int64_t TakeRefusalCount(const std::string& region);

  //==============================================================================
  /** Chooses a region and a target and takes a permit. */
  Admission Admit(const AdmissionRequest& request, TimePoint now);

  /** Ends an attempt. The permit returns to the budget. */
  TargetChange Finish(const Admission& admission, AttemptResult result,
                      Duration latency, TimePoint now);

  /** Asks to send `bytes` from one region to another.
      @return zero: send now; else ask again after that time. */
  Duration ReserveLink(const std::string& from, const std::string& to,
                       int64_t bytes, TimePoint now);

  //==============================================================================
  /** Issues an idempotency key that this process will honour; nothing when the
      ledger has no room. */
  std::optional<std::string> IssueKey(TimePoint now);

  KeyStatus CheckKey(const OrderKey& key, TimePoint now) const;

  BeginResult BeginOrder(const std::string& key, TimePoint now,
                         OrderAnswer* answer);
  void AbandonOrder(const std::string& key);
  void CompleteOrder(const std::string& key, OrderAnswer answer);
  void MarkOrderUnknown(const std::string& key);

  //==============================================================================
  /** Returns the document in force, or nullptr. */
  DocumentPtr document() const;
  uint64_t document_revision() const;

  /** Returns the entry hosts for a client, best first. */
  std::vector<MemberRecord> EntryHosts(std::string_view service,
                                       uint32_t client) const;

  std::vector<MemberRecord> Members() const;
  std::vector<Position> Positions() const;

  /** Returns the regions that have targets of a service and none that can take
      work. */
  std::set<LostRegion> LostRegions(TimePoint now) const;

  /** Returns a copy of the target table. */
  std::vector<TargetState> Targets() const;

  const Options& options() const { return options_; }

 private:
  struct PositionKey {
    std::string service;
    std::string home;
    friend auto operator<=>(const PositionKey&, const PositionKey&) = default;
  };
  struct LinkKey {
    std::string from;
    std::string to;
    friend auto operator<=>(const LinkKey&, const LinkKey&) = default;
  };

  RegionSplit DesiredSplit(const ServiceSpec& service, const std::string& home,
                           TimePoint now) const;
  void AddMissingPositions(TimePoint now);
  void UpdateLinkRates();

  const Options options_;
  mutable std::mutex mutex_;
  DocumentPtr document_;
  uint64_t document_revision_ = 0;
  std::optional<RampPlan> plan_;
  std::map<PositionKey, ShiftLimiter> shift_limiters_;
  BudgetTable budget_;
  TargetTable targets_;
  OrderLedger ledger_;
  std::map<std::string, RetryBudget> retry_budgets_;
  std::map<std::string, int64_t> refusal_counts_;
  std::map<LinkKey, RateLimiter> links_;
  double link_share_ = 0;
  std::vector<MemberRecord> members_;
  Random random_;
  uint64_t last_key_sequence_ = 0;
  TimePoint last_tick_{};
};

}  // namespace greengage

#endif  // GG_STEERING_STEERING_H_
