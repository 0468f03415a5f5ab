#ifndef GG_REQUEST_SERVICE_TIMES_H_
#define GG_REQUEST_SERVICE_TIMES_H_

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "gg_core/time.h"

namespace greengage {

/** What this daemon knows of a target and an object. */
enum class ObjectKnowledge {
  kHandled,      // the target answered it here recently
  kFirstChoice,  // the target is the first in the object's order
  kNew,          // another target, or a request without an object
};

/** Recent service times of the routes, by what was known of the object.

    In a large fleet, each daemon sees an object rarely, so that it has not seen
    most of the objects that a target knows. How often the first target in an
    object's order knows it is contained in the samples. Traffic thread only. */
class ServiceTimes {
 public:
  /** Records the time that a target needed for a request. */
  void Record(std::string_view route, std::string_view service,
              ObjectKnowledge knowledge, Duration time);

  /** Returns the share of answers within `limit`, or nothing without
      samples. */
  std::optional<double> FractionWithin(std::string_view route,
                                       ObjectKnowledge knowledge,
                                       Duration limit) const;

  /** Returns the median time, or nothing without samples. */
  std::optional<Duration> Median(std::string_view route,
                                 ObjectKnowledge knowledge) const;

  /** Returns the mean time of the requests of a service, or nothing without
      samples. */
  std::optional<Duration> Mean(std::string_view service) const;

 private:
  /** The newest answers; enough to tell a tenth from a half. */
  static constexpr size_t kMaxSamples = 32;

  struct Samples {
    std::array<float, kMaxSamples> seconds{};
    size_t count = 0;  // ever recorded
  };

  const Samples* Find(std::string_view route, ObjectKnowledge knowledge) const;

  std::map<std::string, std::array<Samples, 3>, std::less<>> routes_;
  std::map<std::string, double, std::less<>> mean_seconds_;  // by service
};

}  // namespace greengage

#endif  // GG_REQUEST_SERVICE_TIMES_H_
