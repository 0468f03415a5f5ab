#include "gg_request/service_times.h"

#include <algorithm>

namespace greengage {
namespace {

/** Weight of the newest answer in a service's mean time, which thus spans about
    thirty answers. */
constexpr double kMeanWeight = 0.03;

/** Samples from which those of better known objects are not used instead. */
constexpr size_t kMinSamples = 4;

}  // namespace

void ServiceTimes::Record(std::string_view route, std::string_view service,
                          ObjectKnowledge knowledge, Duration time) {
  const double seconds = ToSeconds(time);
  Samples& samples =
      routes_[std::string(route)][static_cast<size_t>(knowledge)];
  samples.seconds[samples.count++ % kMaxSamples] = static_cast<float>(seconds);
  const auto [found, is_new] =
      mean_seconds_.try_emplace(std::string(service), seconds);
  found->second += kMeanWeight * (seconds - found->second);
}

const ServiceTimes::Samples* ServiceTimes::Find(
    std::string_view route, ObjectKnowledge knowledge) const {
  const auto found = routes_.find(route);
  if (found == routes_.end()) return nullptr;
  const Samples* samples = &found->second[static_cast<size_t>(knowledge)];
  return samples->count < kMinSamples ? nullptr : samples;
}

std::optional<double> ServiceTimes::FractionWithin(std::string_view route,
                                                   ObjectKnowledge knowledge,
                                                   Duration limit) const {
  const Samples* samples = Find(route, knowledge);
  if (samples == nullptr) return std::nullopt;
  const size_t count = std::min(samples->count, kMaxSamples);
  const auto within =
      std::count_if(samples->seconds.begin(), samples->seconds.begin() + count,
                    [&](float time) { return time <= ToSeconds(limit); });
  return static_cast<double>(within) / static_cast<double>(count);
}

std::optional<Duration> ServiceTimes::Median(std::string_view route,
                                             ObjectKnowledge knowledge) const {
  const Samples* samples = Find(route, knowledge);
  if (samples == nullptr) return std::nullopt;
  std::array<float, kMaxSamples> sorted = samples->seconds;
  const size_t count = std::min(samples->count, kMaxSamples);
  const auto middle = sorted.begin() + count / 2;
  std::nth_element(sorted.begin(), middle, sorted.begin() + count);
  return FromSeconds(*middle);
}

std::optional<Duration> ServiceTimes::Mean(std::string_view service) const {
  const auto found = mean_seconds_.find(service);
  if (found == mean_seconds_.end()) return std::nullopt;
  return FromSeconds(found->second);
}

}  // namespace greengage
