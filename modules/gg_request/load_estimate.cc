#include "gg_request/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace greengage {
void LoadEstimate::RecordReport(const TargetLoad& load, int own_in_flight,
                                int slots, TimePoint now) {
  const double reported =
      std::clamp(load.requests(), 0.0,
                 options_.max_reported_utilization * std::max(slots, 1));
  // Half of the answered request is assumed to be included in the report, so
  // that the error is half a request whether it is included or not.
  const double own = std::max(own_in_flight - 0.5, 0.0);
  others_by_report_ = std::max(reported - own, 0.0);
  reported_at_ = now;
  const double weight = options_.plausibility_weight;
  average_by_report_ += weight * (others_by_report_ - average_by_report_);
  average_by_peers_ += weight * (peers_in_flight_ - average_by_peers_);
}

void LoadEstimate::SetPeersInFlight(int in_flight, Duration age,
                                    TimePoint now) {
  peers_in_flight_ = in_flight;
  peers_known_at_ = now - age;
}

bool LoadEstimate::IsReportPlausible() const {
  return average_by_report_ + options_.plausibility_slack >=
         options_.min_plausible_fraction * average_by_peers_;
}

double LoadEstimate::ReportWeight(TimePoint now) const {
  const Duration age = now - reported_at_;
  if (age >= options_.report_lifetime) return 0;
  const double seconds = std::max(ToSeconds(age), 0.0);
  const double peers_seconds = std::max(ToSeconds(now - peers_known_at_), 0.0);
  const double decay = std::exp(-seconds / ToSeconds(options_.report_decay));
  if (seconds + peers_seconds <= 0) return decay;
  return decay * peers_seconds / (seconds + peers_seconds);
}

double LoadEstimate::Requests(int own_in_flight, TimePoint now) const {
  const double weight = IsReportPlausible() ? ReportWeight(now) : 0;
  return own_in_flight + weight * others_by_report_ +
         (1 - weight) * peers_in_flight_;
}

Duration LoadEstimate::Age(TimePoint now) const {
  const TimePoint newest = IsReportPlausible()
                               ? std::max(reported_at_, peers_known_at_)
                               : peers_known_at_;
  return std::max(now - newest, Duration::zero());
}

}  // namespace greengage
