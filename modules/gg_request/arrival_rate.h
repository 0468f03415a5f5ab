#ifndef GG_REQUEST_ARRIVAL_RATE_H_
#define GG_REQUEST_ARRIVAL_RATE_H_

#include <optional>

#include "gg_core/time.h"

namespace greengage {

/** Rate of requests over the last seconds, the newest counting most. While it
    has seen less than that, the rate is that of the time it has seen. */
class ArrivalRate {
 public:
  struct Options {
    /** Time in which the weight of a request falls to 1/e. Two windows of the
        operators, who judge shares over 2 s. */
    Duration time_constant = std::chrono::seconds(4);
  };

  explicit ArrivalRate(Options options) : options_(options) {}

  /** Notes a request and returns the rate with it, a second; above zero. */
  double RecordArrival(TimePoint now);

 private:
  Options options_;
  double decayed_count_ = 0;  // of all requests up to the newest
  std::optional<TimePoint> first_arrival_at_;
  TimePoint last_arrival_at_{};
};

}  // namespace greengage

#endif  // GG_REQUEST_ARRIVAL_RATE_H_
