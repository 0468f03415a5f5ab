#ifndef GG_INSIGHT_LINE_LIMITER_H_
#define GG_INSIGHT_LINE_LIMITER_H_

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
class LineLimiter {
 public:
  struct Options {
    uint64_t request_lines = 0;  // a second; 0: no bound
    /** The same for all other lines: a start in a fleet of 429 targets and 79
        daemons lists each of them at once, several times over. */
    uint64_t other_lines = 2000;
  };

  /** Lines left out, by kind. */
  using Dropped = std::map<Event, uint64_t>;

  void SetOptions(Options options);

  /** Returns whether one more line may be written.
      @param dropped  receives, once a second, what was left out since. */
  bool Admit(Event event, TimePoint now, Dropped* dropped);

  /** Counts a line that was admitted and left out all the same. */
  void NoteDropped(Event event);

 private:
  std::mutex mutex_;
  Options options_;
  int64_t second_ = 0;
  uint64_t request_lines_ = 0;
  uint64_t other_lines_ = 0;
  Dropped dropped_;
};

}  // namespace greengage

#endif  // GG_INSIGHT_LINE_LIMITER_H_
