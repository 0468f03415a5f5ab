#ifndef GG_INSIGHT_LOG_RATE_LIMITER_H_
#define GG_INSIGHT_LOG_RATE_LIMITER_H_

#include <cstdint>
#include <map>
#include <mutex>

#include "gg_core/event.h"
#include "gg_core/time.h"

namespace greengage {

/** Bounds the lines a second, and counts what is left out by kind.

    Lines on requests have a bound of their own: a flood of them must not leave
    out what the process came to believe, without which none of them can be
    explained. Any thread may call it. */
class LogRateLimiter {
 public:
  struct Options {
    uint64_t max_request_lines_per_second = 0;  // a second; 0: no bound
    /** The same for all other lines: a start in a fleet of 429 targets and 79
        daemons lists each of them at once, several times over. */
    uint64_t max_other_lines_per_second = 2000;
  };

  /** Lines left out, by kind. */
  using DroppedCounts = std::map<Event, uint64_t>;

  void SetOptions(Options options);

  /** Returns whether one more line may be written.
      @param dropped  receives, once a second, what was left out since. */
  bool Admit(Event event, TimePoint now, DroppedCounts* dropped);

  /** Counts a line that was admitted and left out all the same. */
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
