#ifndef GG_CORE_TIME_H_
#define GG_CORE_TIME_H_

#include <algorithm>
#include <chrono>
#include <cmath>

namespace greengage {

/** Point in time of the monotonic clock. Code that makes decisions receives it
    as an argument and never reads a clock, so that tests can run in simulated
    time. */
using TimePoint = std::chrono::steady_clock::time_point;

/** Duration with nanosecond resolution. */
using Duration = std::chrono::steady_clock::duration;

/** Returns `duration` in seconds as a floating-point number. */
inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/** Longest duration that FromSeconds() returns, about 30 years. It can be added
    to any point in time without an overflow. */
inline constexpr double kMaxSeconds = 1e9;

/** Returns `seconds` as a Duration. Values beyond kMaxSeconds are clamped, and
    what is no number counts as zero, as the value may come from a message. */
inline Duration FromSeconds(double seconds) {
  if (std::isnan(seconds)) return Duration::zero();
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      std::clamp(seconds, -kMaxSeconds, kMaxSeconds)));
}

}  // namespace greengage

#endif  // GG_CORE_TIME_H_
