#include "gg_request/retry_allowance.h"

#include <algorithm>

namespace greengage {

void RetryAllowance::Expire(Counts* counts, TimePoint now) const {
  for (std::deque<TimePoint>* times : {&counts->requests, &counts->repeats}) {
    while (!times->empty() && now - times->front() >= options_.window) {
      times->pop_front();
    }
  }
}

void RetryAllowance::NoteRequest(const std::string& service, TimePoint now) {
  Counts& counts = services_[service];
  Expire(&counts, now);
  counts.requests.push_back(now);
}

bool RetryAllowance::TryTake(const std::string& service, int senders,
                             TimePoint now) {
  Counts& counts = services_[service];
  Expire(&counts, now);
  const double budget =
      options_.used_part *
      (options_.ratio * static_cast<double>(counts.requests.size()) +
       options_.fleet_allowance / std::max(senders, 1));
  if (static_cast<double>(counts.repeats.size()) + 1 > budget) return false;
  counts.repeats.push_back(now);
  return true;
}

}  // namespace greengage
