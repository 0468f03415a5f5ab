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

/** Reason why a request was not admitted. No byte of a refused request has been
    sent to a target. */
enum class Refusal {
  kNone,            // the request was admitted
  kNotReady,        // no document, or no split for the service and home region
  kControlStalled,  // no Tick() for longer than control_stall_timeout
  kRegionFull,      // the region's budget has no free permit
  kNoTarget,        // no target in the region can take a request
  kRetrySpent,      // the service's retry budget is exhausted
};

inline constexpr EnumNames<Refusal, 6> kRefusalNames{
    {"none", "not_ready", "control_stalled", "region_full", "no_target",
     "retry_spent"}};

/** Parameters of Steering::Admit(). */
struct AdmissionRequest {
  const ServiceSpec* service = nullptr;  // must be set
  const RouteSpec* route = nullptr;      // must be set
  std::string home_region;               // of the client
  /** Region of an earlier attempt of the same request; "" for the first. */
  std::string retry_region;
  /** Rows of the targets that earlier attempts used; they are not chosen. */
  std::vector<size_t> tried_rows;
};

/** Result of Steering::Admit(). When admitted, it is the right to make one
    attempt at a target, and it must be passed to Finish() exactly once. */
struct Admission {
  Refusal refusal = Refusal::kNone;
  Permit permit;
  size_t row = 0;  // of the target in the target table
  std::string target_name;
  std::string target_address;
  std::string target_region;
  int64_t connection_limit = 0;  // of the target

  bool is_admitted() const { return refusal == Refusal::kNone; }
};

/** Split that one daemon currently applies to one service and home region. */
struct Position {
  std::string service;
  std::string home;  // home region
  RegionSplit split;
};

/** Region in which a service has targets but none of them can take requests. */
struct LostRegion {
  std::string service;
  std::string region;

  friend auto operator<=>(const LostRegion&, const LostRegion&) = default;
};

/** Status of an idempotency key at this daemon. */
enum class KeyStatus {
  kOwn,      // issued by this process and not expired
  kPeer,     // issued by a daemon at another address: forward the request there
  kExpired,  // issued by this process, but its lifetime is over
  kLost,     // issued by an earlier process at this address
  kForged,   // names this address, but its keyed hash is wrong
};

/** Traffic decisions of one daemon: admission, target selection, link rates,
    idempotency keys and look-ups.

    The control thread supplies the inputs (documents, plans, budgets, members)
    and traffic threads ask for decisions. One mutex guards all state. Methods
    do no I/O and wait for nothing but this mutex, and all of them may be called
    from any thread. */
class Steering {
 public:
  struct Options {
    HostId self;
    std::string traffic_address;  // "ip:port" at which callers reach this host
    std::string region;
    std::string zone;
    uint64_t seed = 1;  // of random target selection
    /** Secret of the keyed hash in the idempotency keys issued here. */
    uint64_t key_secret = 1;
    /** Start of this process; expiry times in issued keys count from it. */
    TimePoint started_at{};
    BudgetTable::Options budget;
    TargetTable::Options targets;
    OrderLedger::Options ledger;
    RetryBudget::Options retry;
    /** Time for which an issued idempotency key is accepted. */
    Duration key_lifetime = std::chrono::minutes(10);
    /** Time without a call of Tick() after which Admit() refuses every request.
        The budgets may be out of date by then. */
    Duration control_stall_timeout = std::chrono::seconds(2);
  };

  explicit Steering(Options options);

  //==============================================================================
  /** Puts a document in force: its targets, its link rates and, once a plan is
      known, the splits of services that are new. */
  void ApplyDocument(DocumentPtr document, uint64_t revision, TimePoint now);

  /** Sets the initial split of each service and home region that has none. */
  void InitializePositions(const std::vector<Position>& positions,
                           TimePoint now);

  /** Sets the plan that the splits follow. A service and home region without a
      split starts at the plan's split, or at the document's when the plan has
      none. */
  void ApplyPlan(const RampPlan& plan, TimePoint now);

  /** Sets the number of permits that this daemon owns in a region. */
  void SetOwnPermits(const std::string& region, int64_t permits);

  /** Sets the part of every link's rate that this daemon may use, 0 to 1. */
  void SetLinkShare(double share);

  /** Sets the members among which EntryHosts() chooses. */
  void SetMembers(std::vector<MemberRecord> members);

  /** Moves the splits towards the plan and drops expired loans and orders. The
      control thread calls it at every tick; see control_stall_timeout. */
  void Tick(TimePoint now);

  //==============================================================================
  /** Lends idle permits to a peer; see BudgetTable::Lend(). */
  std::optional<LoanOffer> Lend(const std::string& region, int64_t wanted,
                                TimePoint now);

  /** Adds a loan from a peer; see BudgetTable::AddLoan(). */
  bool AddLoan(const Loan& loan, TimePoint now);

  /** Returns the permit counters of a region. */
  RegionUsage Usage(const std::string& region) const;

  /** Returns the number of requests that the region's budget has refused since
      the previous call for that region, and resets the count. */
  int64_t TakeRefusalCount(const std::string& region);

  //==============================================================================
  /** Chooses a region, takes a permit there and chooses a target. */
  Admission Admit(const AdmissionRequest& request, TimePoint now);

  /** Ends an admitted attempt: returns its permit and records the result at the
      target.
      @return whether the target was ejected or restored by this result. */
  TargetChange Finish(const Admission& admission, AttemptResult result,
                      Duration latency, TimePoint now);

  /** Reserves `bytes` of this daemon's share of the link between two regions.
      @return zero when they may be sent now, else the time after which to ask
              again; nothing is reserved then. */
  Duration ReserveLink(const std::string& from, const std::string& to,
                       int64_t bytes, TimePoint now);

  //==============================================================================
  /** Issues an idempotency key, or nothing when the order ledger is full. */
  std::optional<std::string> IssueKey(TimePoint now);

  /** Returns whether this process may run an order under `key`, and if not,
      why. Takes no lock. */
  KeyStatus CheckKey(const OrderKey& key, TimePoint now) const;

  /** Starts an order or returns its state; see OrderLedger::Begin(). */
  BeginResult BeginOrder(const std::string& key, TimePoint now,
                         OrderAnswer* answer);

  /** Removes an order that was not dispatched; see OrderLedger::Abandon(). */
  void AbandonOrder(const std::string& key);

  /** Records the answer of an order; see OrderLedger::Complete(). */
  void CompleteOrder(const std::string& key, OrderAnswer answer);

  /** Records that the answer of an order was lost. */
  void MarkOrderUnknown(const std::string& key);

  //==============================================================================
  /** Returns the document in force, or nullptr before the first. */
  DocumentPtr document() const;

  /** Returns the store revision of the document in force, or 0. */
  uint64_t document_revision() const;

  /** Returns the entry hosts for a client, best first.
      @param client  IPv4 address in host byte order. */
  std::vector<MemberRecord> EntryHosts(std::string_view service,
                                       uint32_t client) const;

  /** Returns the members as last set by SetMembers(). */
  std::vector<MemberRecord> Members() const;

  /** Returns the split in force of every service and home region. */
  std::vector<Position> Positions() const;

  /** Returns the regions in which a service has targets but none of them can
      take requests. */
  std::set<LostRegion> LostRegions(TimePoint now) const;

  /** Returns a copy of the target table's rows. */
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

  /** Returns the split to move towards: the plan's, or else the document's,
      over the regions with usable targets only and scaled to the sum 1. When no
      region is usable it is returned unchanged. */
  RegionSplit DesiredSplit(const ServiceSpec& service, const std::string& home,
                           TimePoint now) const;

  /** Adds a split for each service and home region of the document that has
      none. Does nothing before both a document and a plan are known. */
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
  std::map<std::string, RetryBudget> retry_budgets_;  // by service
  std::map<std::string, int64_t> refusal_counts_;     // by region
  std::map<LinkKey, RateLimiter> links_;
  double link_share_ = 0;
  std::vector<MemberRecord> members_;
  Random random_;
  uint64_t last_key_sequence_ = 0;
  TimePoint last_tick_{};
};

}  // namespace greengage

#endif  // GG_STEERING_STEERING_H_
