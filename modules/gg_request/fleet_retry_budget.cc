#include "gg_request/fleet_retry_budget.h"

#include <algorithm>

namespace greengage {

void FleetRetryBudget::RemoveExpired(Counts* counts, TimePoint now) const {
  for (std::deque<TimePoint>* times : {&counts->requests, &counts->retries}) {
    while (!times->empty() && now - times->front() >= options_.window) {
      times->pop_front();
    }
  }
}

void FleetRetryBudget::RecordRequest(const std::string& service,
                                     TimePoint now) {
  Counts& counts = services_[service];
  RemoveExpired(&counts, now);
  counts.requests.push_back(now);
}

bool FleetRetryBudget::TryTake(const std::string& service, int sender_count,
                               TimePoint now) {
  Counts& counts = services_[service];
  RemoveExpired(&counts, now);
  const double budget =
      options_.used_fraction *
      (options_.ratio * static_cast<double>(counts.requests.size()) +
       options_.fleet_allowance / std::max(sender_count, 1));
  if (static_cast<double>(counts.retries.size()) + 1 > budget) return false;
  counts.retries.push_back(now);
  return true;
}

}  // namespace greengage
