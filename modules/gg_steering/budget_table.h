#ifndef GG_STEERING_BUDGET_TABLE_H_
#define GG_STEERING_BUDGET_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gg_core/time.h"

namespace greengage {

/** Right to run one request in a region, from Acquire() to Release(). */
struct Permit {
  std::string region;
  uint64_t loan_id = 0;  // 0: taken from the daemon's own permits
};

/** What a request asks of a region's budget. */
struct PermitRequest {
  std::string region;
  Duration time_limit{};         // zero: unbounded
  bool may_use_reserve = false;  // true for the most valuable kinds
};

/** Permits taken from the own ones for a peer. */
struct LoanOffer {
  int64_t permits = 0;
  Duration term{};
};

/** Permits of a peer that this daemon may use until `expires_at`. */
struct Loan {
  uint64_t id = 0;  // not 0
  std::string region;
  int64_t permits = 0;
  TimePoint expires_at{};
};

/** Counters of one region at one instant. */
struct RegionUsage {
  int64_t own = 0;
  int64_t lent = 0;
  int64_t borrowed = 0;
  int64_t in_use = 0;

  /** Returns the number of requests that may run at once now. */
  int64_t limit() const { return own - lent + borrowed; }
};

/** Concurrent requests that one daemon may run, by region.

    The sum over all daemons of own permits never exceeds a region's capacity
    (see SliceTable). A loan is subtracted at the lender before it is offered
   and comes back only after its term and a margin, by the lender's clock; the
    borrower counts the term from the moment it sent its request and admits on a
    loan only requests that end before it. A lost, late or repeated message
    therefore costs headroom and never adds any.

    One thread at a time; Steering holds the lock. */
class BudgetTable {
 public:
  struct Options {
    Duration loan_term = std::chrono::seconds(5);
    Duration loan_margin = std::chrono::seconds(1);
    /** Part of the limit that only the most valuable kinds may use. */
    double reserve_fraction = 0.1;
  };

  explicit BudgetTable(Options options) : options_(options) {}

  //==============================================================================
  /** Sets the permits that this daemon owns in `region`. Requests already
      running are not affected. */
  void SetOwn(const std::string& region, int64_t permits);

  /** Takes a permit, or nothing when the budget binds. */
  std::optional<Permit> Acquire(const PermitRequest& request, TimePoint now);

  /** Gives a permit back, once. */
  void Release(const Permit& permit);

  //==============================================================================
  /** Lends up to `wanted` idle permits, at most half of what is idle; nothing
      when none can be spared. */
  std::optional<LoanOffer> Lend(const std::string& region, int64_t wanted,
                                TimePoint now);

  /** Adds a loan from a peer. One already known, or already over, is ignored.
      @return true when the loan was added. */
  bool AddLoan(const Loan& loan, TimePoint now);

  /** Drops loans that are over and takes back permits that were lent. */
  void Expire(TimePoint now);

  //==============================================================================
  RegionUsage Usage(const std::string& region) const;

  /** Returns the names of all regions with a budget. */
  std::vector<std::string> Regions() const;

  const Options& options() const { return options_; }

 private:
  struct LentPermits {
    int64_t permits = 0;
    TimePoint returns_at{};
  };
  struct BorrowedPermits {
    Loan loan;
    int64_t in_use = 0;
  };
  struct RegionBudget {
    int64_t own = 0;
    int64_t own_in_use = 0;
    std::vector<LentPermits> lent;
    std::map<uint64_t, BorrowedPermits> borrowed;
  };

  static int64_t LentTotal(const RegionBudget& budget);
  static RegionUsage UsageOf(const RegionBudget& budget);
  BorrowedPermits* FindUsableLoan(RegionBudget* budget,
                                  const PermitRequest& request,
                                  TimePoint now) const;

  Options options_;
  std::map<std::string, RegionBudget> regions_;
};

}  // namespace greengage

#endif  // GG_STEERING_BUDGET_TABLE_H_
