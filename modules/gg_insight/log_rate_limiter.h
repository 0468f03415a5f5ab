#ifndef GG_INSIGHT_LOG_RATE_LIMITER_H_
#define GG_INSIGHT_LOG_RATE_LIMITER_H_

#include <cstdint>
#include <map>
#include <mutex>

#include "gg_core/event.h"
#include "gg_core/time.h"

namespace greengage {

/** Limits the number of log lines per second and counts the dropped lines by
    event.

    Lines about single requests have a limit of their own. A flood of them must
    not displace the lines about changes of configuration, targets and daemons,
    which are needed to explain what happened to the requests.

    Any thread may call any method. */
class LogRateLimiter {
 public:
  struct Options {
    /** Limit for lines about single requests; 0 disables both
        limits. */
    uint64_t max_request_lines_per_second = 0;
    /** Limit for all other lines. A daemon that starts in a fleet of 429
        targets and 79 daemons logs each of them several times at once. */
    uint64_t max_other_lines_per_second = 2000;
  };

  /** Number of dropped lines per event. */
  using DroppedCounts = std::map<Event, uint64_t>;

  /** Sets the limits. */
  void SetOptions(Options options);

  /** Returns whether one more line may be written, and counts the line.
      @param dropped  set by the first call of each second to the lines dropped
                      since the last time; otherwise left unchanged. */
  bool Admit(Event event, TimePoint now, DroppedCounts* dropped);

  /** Counts a line that was admitted but dropped later. */
  void CountDropped(Event event);

 private:
  std::mutex mutex_;
  Options options_;
  int64_t current_second_ = 0;
  uint64_t request_line_count_ = 0;
  uint64_t other_line_count_ = 0;
  DroppedCounts dropped_counts_;
};

}  // namespace greengage

#endif  // GG_INSIGHT_LOG_RATE_LIMITER_H_
