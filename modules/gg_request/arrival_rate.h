#ifndef GG_REQUEST_ARRIVAL_RATE_H_
#define GG_REQUEST_ARRIVAL_RATE_H_

#include <optional>

#include "gg_core/time.h"

namespace greengage {

/** Estimates the current request rate, weighting recent requests most.

    Requests are counted with exponential decay. Until the time constant has
    passed, the estimate covers only the time since the first request. */
class ArrivalRate {
 public:
  struct Options {
    /** Time in which the weight of a request falls to 1/e. Equals two of the 2
       s windows over which the operators compute region shares. */
    Duration time_constant = std::chrono::seconds(4);
  };

  explicit ArrivalRate(Options options) : options_(options) {}

  /** Records a request and returns the rate including it, in requests per
      second; always above zero. */
  double RecordArrival(TimePoint now);

 private:
  Options options_;
  double decayed_count_ = 0;  // of all requests, as of last_arrival_at_
  std::optional<TimePoint> first_arrival_at_;
  TimePoint last_arrival_at_{};
};

}  // namespace greengage

#endif  // GG_REQUEST_ARRIVAL_RATE_H_
