#ifndef GG_REQUEST_SLOW_AVERAGE_H_
#define GG_REQUEST_SLOW_AVERAGE_H_

#include <algorithm>
#include <cmath>
#include <optional>

#include "gg_core/time.h"

namespace greengage {

/** Exponential average of a value over time, independent of how often the value
    is recorded. Traffic thread only. */
class SlowAverage {
 public:
  struct Options {
    double initial = 0;
    Duration time_constant = std::chrono::seconds(30);
  };

  explicit SlowAverage(Options options)
      : options_(options), average_(options.initial) {}

  /** Records the present value and returns the average. */
  double Record(double value, TimePoint now) {
    if (updated_at_) {
      const double elapsed = std::max(ToSeconds(now - *updated_at_), 0.0);
      average_ += (value - average_) *
                  (1 - std::exp(-elapsed / ToSeconds(options_.time_constant)));
    }
    updated_at_ = now;
    return average_;
  }

 private:
  Options options_;
  double average_;
  std::optional<TimePoint> updated_at_;
};

}  // namespace greengage

#endif  // GG_REQUEST_SLOW_AVERAGE_H_
