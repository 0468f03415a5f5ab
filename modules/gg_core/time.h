#ifndef GG_CORE_TIME_H_
#define GG_CORE_TIME_H_

#include <chrono>

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

/** Returns `seconds` as a Duration. */
inline Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace greengage

#endif  // GG_CORE_TIME_H_
