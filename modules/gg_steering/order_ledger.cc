#include "gg_steering/order_ledger.h"

#include <cassert>

namespace greengage {

BeginResult OrderLedger::Begin(const std::string& key, TimePoint expires_at,
                               OrderAnswer* answer) {
  const auto found = records_.find(key);
  if (found == records_.end()) {
    if (records_.size() >= options_.max_orders) return BeginResult::kFull;
    records_.emplace(key, Record{.expires_at = expires_at});
    return BeginResult::kStarted;
  }
  switch (found->second.state) {
    case OrderState::kRunning:
      return BeginResult::kRunning;
    case OrderState::kUnknown:
      return BeginResult::kUnknown;
    case OrderState::kAnswered:
      *answer = found->second.answer;
      return BeginResult::kAnswered;
  }
  return BeginResult::kUnknown;
}

void OrderLedger::Abandon(const std::string& key) {
  const auto found = records_.find(key);
  // Only the request that received kStarted may abandon the order, and only
  // before it dispatches it.
  assert(found != records_.end() &&
         found->second.state == OrderState::kRunning);
  if (found != records_.end()) records_.erase(found);
}

void OrderLedger::Complete(const std::string& key, OrderAnswer answer) {
  const auto found = records_.find(key);
  if (found == records_.end()) return;
  const bool fits =
      answer.is_body_kept && answer.body.size() <= options_.max_body_bytes &&
      total_body_bytes_ + answer.body.size() <= options_.max_total_bytes;
  if (!fits) {
    answer.body.clear();
    answer.is_body_kept = false;
  }
  total_body_bytes_ += answer.body.size();
  found->second.state = OrderState::kAnswered;
  found->second.answer = std::move(answer);
}

void OrderLedger::MarkUnknown(const std::string& key) {
  const auto found = records_.find(key);
  if (found != records_.end()) found->second.state = OrderState::kUnknown;
}

void OrderLedger::Expire(TimePoint now) {
  std::erase_if(records_, [&](const auto& entry) {
    const Record& record = entry.second;
    const bool is_expired =
        record.state != OrderState::kRunning && record.expires_at <= now;
    if (is_expired) total_body_bytes_ -= record.answer.body.size();
    return is_expired;
  });
}

}  // namespace greengage
