#ifndef GG_STEERING_RATE_LIMITER_H_
#define GG_STEERING_RATE_LIMITER_H_

#include <algorithm>
#include <cstdint>

#include "gg_core/time.h"

namespace greengage {

/** Token bucket over bytes of one direction of a link. One thread at a time. */
class RateLimiter {
 public:
  /** Time whose worth of bytes may be sent in one burst. */
  static constexpr double kBurstSeconds = 0.05;

  /** Longest time to wait before asking again. */
  static constexpr Duration kMaxWait = std::chrono::seconds(1);

  /** Sets the rate in bytes a second; 0 stops all sending. */
  void SetRate(int64_t bytes_per_second) {
    rate_ = static_cast<double>(bytes_per_second);
  }

  /** Takes `bytes` when the bucket is not empty, which may leave a debt.
      @return zero when the bytes may be sent now, else the time after which to
              ask again; nothing was taken then. */
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
