#ifndef GG_REQUEST_FLEET_RETRY_BUDGET_H_
#define GG_REQUEST_FLEET_RETRY_BUDGET_H_

#include <deque>
#include <map>
#include <string>

#include "gg_core/time.h"

namespace greengage {

/** This daemon's share of the fleet's retry budget.

    Load pattern: many targets shed requests or fail, and every daemon would
    retry elsewhere. The budget of a service is a fraction of its requests in a
    window plus a fixed allowance that the daemons share evenly. Traffic thread
    only. */
class FleetRetryBudget {
 public:
  struct Options {
    double ratio = 0.1;          // retries per request in the window
    double fleet_allowance = 0;  // retries in a window, all daemons together
    Duration window = std::chrono::seconds(10);
    /** Fraction of the budget that is used. The rest is reserved for daemons
        that do not know of each other yet. */
    double used_fraction = 0.8;
  };

  explicit FleetRetryBudget(Options options) : options_(options) {}

  /** Sets other limits. Requests and retries counted so far remain counted. */
  void SetOptions(Options options) { options_ = options; }

  /** Records a caller's request for `service`. */
  void RecordRequest(const std::string& service, TimePoint now);

  /** Takes one retry from the budget of `service`.
      @param sender_count  upper bound on the daemons that may be sending.
      @return false when the budget is used up. */
  bool TryTake(const std::string& service, int sender_count, TimePoint now);

 private:
  struct Counts {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
  };

  void RemoveExpired(Counts* counts, TimePoint now) const;

  Options options_;
  std::map<std::string, Counts> services_;
};

}  // namespace greengage

#endif  // GG_REQUEST_FLEET_RETRY_BUDGET_H_
