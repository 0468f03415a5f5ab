#ifndef GG_REQUEST_COLD_TARGET_LIMITER_H_
#define GG_REQUEST_COLD_TARGET_LIMITER_H_

#include <deque>
#include <map>
#include <string>

#include "gg_core/time.h"

namespace greengage {

/** Keeps a cold target below the rate at which it crashes.

    Load pattern: a zone comes back cold and every daemon sees it at the same
    moment. Each daemon has its share of the rate, without asking the others;
    where there are more daemons than requests to deal out, some have none.
    Traffic thread only. */
class ColdTargetLimiter {
 public:
  struct Options {
    std::string self;  // name of this daemon
    /** Requests that fleet_requests daemons together may have above the
       configured rate. Zero keeps within what the target bears. */
    double allowance = 0;
  };

  explicit ColdTargetLimiter(Options options) : options_(std::move(options)) {}

  /** Sets another allowance; what was send_times stays counted. */
  void SetAllowance(double allowance) { options_.allowance = allowance; }

  /** Takes one request of the share, if there is one left.
      @param rate  requests a second that the target bears.
      @param sender_count  daemons that may be sending. */
  bool TryTake(const std::string& target_id, double rate, int sender_count,
               TimePoint now);

  /** Returns whether TryTake() would succeed. */
  bool CanTake(const std::string& target_id, double rate, int sender_count,
               TimePoint now);

 private:
  int DaemonShare(const std::string& target_id, double rate,
                  int sender_count) const;
  void RemoveExpired(std::deque<TimePoint>* send_times, TimePoint now) const;

  Options options_;
  std::map<std::string, std::deque<TimePoint>> send_times_;
};

}  // namespace greengage

#endif  // GG_REQUEST_COLD_TARGET_LIMITER_H_
