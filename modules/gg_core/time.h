#ifndef GG_CORE_TIME_H_
#define GG_CORE_TIME_H_

#include <chrono>

namespace greengage {

/** Monotonic instant. Decision code receives it as an argument and never reads
    a clock itself, so that tests run in virtual time. */
using TimePoint = std::chrono::steady_clock::time_point;

/** Length of time with nanosecond resolution. */
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
