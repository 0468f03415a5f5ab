#ifndef GG_REQUEST_RECENT_MAXIMUM_H_
#define GG_REQUEST_RECENT_MAXIMUM_H_

#include <algorithm>

#include "gg_core/time.h"

namespace greengage {

/** Longest of the durations that were recorded lately. A value counts for one
    to two periods of `kPeriod`. */
class RecentMaximum {
 public:
  void Record(Duration value, TimePoint now) {
    Advance(now);
    current_ = std::max(current_, value);
  }

  /** Returns zero if nothing was recorded lately. */
  Duration Value(TimePoint now) {
    Advance(now);
    return std::max(current_, previous_);
  }

 private:
  static constexpr Duration kPeriod = std::chrono::seconds(30);

  void Advance(TimePoint now) {
    const Duration elapsed = now - period_began_at_;
    if (elapsed < kPeriod) return;
    previous_ = elapsed < 2 * kPeriod ? current_ : Duration::zero();
    current_ = Duration::zero();
    period_began_at_ = now;
  }

  TimePoint period_began_at_{};
  Duration current_{};
  Duration previous_{};
};

}  // namespace greengage

#endif  // GG_REQUEST_RECENT_MAXIMUM_H_
