#ifndef GG_REQUEST_FLEET_RETRY_BUDGET_H_
#define GG_REQUEST_FLEET_RETRY_BUDGET_H_

#include <deque>
#include <map>
#include <string>

#include "gg_core/time.h"

namespace greengage {

/** This daemon's share of the fleet's budget for sending requests once more.

    Load pattern: targets that shed or fail in numbers, while every daemon would
    like to try again elsewhere. The budget of a service is a part of its
    requests in a window plus a fixed allowance that the daemons share evenly.
    Traffic thread only. */
class FleetRetryBudget {
 public:
  struct Options {
    double ratio = 0.1;          // of the requests in the window
    double fleet_allowance = 0;  // requests in a window, all daemons together
    Duration window = std::chrono::seconds(10);
    /** Part of the budget that is used; the rest is for daemons that have not
        heard of each other yet. */
    double used_fraction = 0.8;
  };

  explicit FleetRetryBudget(Options options) : options_(options) {}

  /** Sets other limits; what was counted stays. */
  void SetOptions(Options options) { options_ = options; }

  /** Notes a caller's request for `service`. */
  void RecordRequest(const std::string& service, TimePoint now);

  /** Takes one repeat out of the budget.
      @param sender_count  daemons that may be sending.
      @return false when it is used up. */
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
