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
  uint64_t loan_id = 0;  // 0: one of the daemon's own permits
};

/** Parameters of BudgetTable::Acquire(). */
struct PermitRequest {
  std::string region;
  Duration time_limit{};         // zero: unlimited
  bool may_use_reserve = false;  // see Options::reserve_fraction
};

/** Own permits that this daemon sets aside for a peer. */
struct LoanOffer {
  int64_t permits = 0;
  Duration term{};  // for which the peer may use them
};

/** Permits of a peer that this daemon may use until `expires_at`. */
struct Loan {
  uint64_t id = 0;  // never 0
  std::string region;
  int64_t permits = 0;
  TimePoint expires_at{};
};

/** Permit counters of one region at one instant. */
struct RegionUsage {
  int64_t own = 0;       // owned by this daemon, the lent ones included
  int64_t lent = 0;      // own permits that peers may be using
  int64_t borrowed = 0;  // permits of peers
  int64_t in_use = 0;    // own and borrowed permits held by requests

  /** Returns the number of requests that may run concurrently. */
  int64_t limit() const { return own - lent + borrowed; }
};

/** Concurrency budgets of one daemon: the permits that it owns, lends and
    borrows in each region.

    The own permits of all daemons together never exceed a region's capacity
    (see SliceTable). The lender subtracts a loan before it offers it, and takes
    the permits back only after the loan's term plus a margin, by its own clock.
    The borrower counts the term from the moment at which it sent its request,
    and uses a loan only for requests whose time limit ends within the term. A
    lost, late or repeated message can therefore reduce the number of usable
    permits but never increase it.

    Not thread-safe; Steering calls it under its lock. */
class BudgetTable {
 public:
  struct Options {
    /** Time for which a loan may be used. */
    Duration loan_term = std::chrono::seconds(5);
    /** Time after the term before the lender uses the permits again. */
    Duration loan_margin = std::chrono::seconds(1);
    /** Fraction of a region's limit that is reserved for requests with
        PermitRequest::may_use_reserve. */
    double reserve_fraction = 0.1;
  };

  explicit BudgetTable(Options options) : options_(options) {}

  //==============================================================================
  /** Sets the permits that this daemon owns in `region`. Requests already
      running are not affected. */
  void SetOwn(const std::string& region, int64_t permits);

  /** Takes a permit, a borrowed one if possible. Returns nothing when no permit
      is free for this request. */
  std::optional<Permit> Acquire(const PermitRequest& request, TimePoint now);

  /** Returns a permit to the budget. To be called once for each permit. */
  void Release(const Permit& permit);

  //==============================================================================
  /** Lends up to `wanted` permits, at most half of the idle own ones. Returns
      nothing when that is none. */
  std::optional<LoanOffer> Lend(const std::string& region, int64_t wanted,
                                TimePoint now);

  /** Adds a loan from a peer. A loan that is known already, that has expired or
      that holds no permits is ignored.
      @return true when the loan was added. */
  bool AddLoan(const Loan& loan, TimePoint now);

  /** Drops borrowed loans that have expired, and takes back lent permits whose
      term and margin have passed. */
  void Expire(TimePoint now);

  //==============================================================================
  /** Returns the counters of a region; all zero when it has no budget. */
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

  /** Returns a loan with a free permit whose term covers the request's time
      limit, or nullptr. */
  BorrowedPermits* FindUsableLoan(RegionBudget* budget,
                                  const PermitRequest& request,
                                  TimePoint now) const;

  Options options_;
  std::map<std::string, RegionBudget> regions_;
};

}  // namespace greengage

#endif  // GG_STEERING_BUDGET_TABLE_H_
