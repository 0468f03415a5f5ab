#ifndef GG_STEERING_RATE_LIMITER_H_
#define GG_STEERING_RATE_LIMITER_H_

#include <algorithm>
#include <cstdint>

#include "gg_core/time.h"

namespace greengage {

/** Token bucket that limits the bytes sent in one direction of a link. Not
    thread-safe; Steering calls it under its lock. */
class RateLimiter {
 public:
  /** Capacity of the bucket, as seconds at the set rate. */
  static constexpr double kBurstSeconds = 0.05;

  /** Longest time after which TryReserve() asks to be called again. */
  static constexpr Duration kMaxWait = std::chrono::seconds(1);

  /** Sets the rate in bytes per second; 0 stops all sending. */
  void SetRate(int64_t bytes_per_second) {
    rate_ = static_cast<double>(bytes_per_second);
  }

  /** Takes `bytes` tokens if the bucket is not empty. The balance may become
      negative, so that a write larger than the bucket is possible.
      @return zero when the bytes may be sent now, else the time after which to
              ask again; no token is taken then. */
  Duration TryReserve(int64_t bytes, TimePoint now) {
    Refill(now);
    if (tokens_ > 0) {
      tokens_ -= static_cast<double>(bytes);
      return Duration::zero();
    }
    if (rate_ <= 0) return kMaxWait;
    return std::min<Duration>(FromSeconds((1 - tokens_) / rate_), kMaxWait);
  }

 private:
  void Refill(TimePoint now) {
    const double elapsed = std::max(0.0, ToSeconds(now - last_refill_));
    last_refill_ = std::max(last_refill_, now);
    tokens_ = std::min(tokens_ + elapsed * rate_, rate_ * kBurstSeconds);
  }

  double rate_ = 0;
  double tokens_ = 0;
  TimePoint last_refill_{};
};

}  // namespace greengage

#endif  // GG_STEERING_RATE_LIMITER_H_
