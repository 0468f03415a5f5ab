#ifndef GG_REQUEST_COLD_TARGET_LIMITER_H_
#define GG_REQUEST_COLD_TARGET_LIMITER_H_

#include <deque>
#include <map>
#include <string>

#include "gg_core/time.h"

namespace greengage {

/** Limits the requests to a cold target to the rate that it can sustain.

    Load pattern: a zone restarts cold and every daemon sees it at the same
    moment. Above the rate, a cold target crashes. Each daemon sends its share
    of the rate without coordinating with the others; if there are more daemons
    than requests to share out, some daemons send none. Traffic thread only. */
class ColdTargetLimiter {
 public:
  struct Options {
    std::string self;  // name of this daemon
    /** Requests that all daemons together may send above the configured rate.
        Zero stays within the rate that the target can sustain. */
    double allowance = 0;
  };

  explicit ColdTargetLimiter(Options options) : options_(std::move(options)) {}

  /** Sets another allowance. Requests already sent remain counted. */
  void SetAllowance(double allowance) { options_.allowance = allowance; }

  /** Takes one request from this daemon's share.
      @param rate  requests per second that the target can sustain.
      @param sender_count  upper bound on the daemons that may be sending.
      @return false when the share is used up. */
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
