#include "gg_request/target_notices.h"

#include <algorithm>

namespace greengage {

TargetNotice& TargetNotices::FindOrAdd(uint64_t target) {
  const auto [found, is_new] = notices_.try_emplace(target);
  if (!is_new) return found->second;
  order_.push_back(target);
  if (order_.size() > options_.max_targets) {
    notices_.erase(order_.front());
    order_.pop_front();
  }
  return notices_.at(target);
}

void TargetNotices::RecordLeaving(uint64_t target, TimePoint now) {
  TargetNotice& notice = FindOrAdd(target);
  if (!notice.leaving_since) notice.leaving_since = now;
}

void TargetNotices::RecordPause(uint64_t target, TimePoint until) {
  TargetNotice& notice = FindOrAdd(target);
  notice.paused_until = std::max(notice.paused_until, until);
}

TargetNotice TargetNotices::Find(uint64_t target) const {
  const auto found = notices_.find(target);
  return found == notices_.end() ? TargetNotice{} : found->second;
}

}  // namespace greengage
