#include "gg_entry/target_link_pool.h"

namespace greengage {
namespace {

/** Part of the target's idle limit that is used; the rest is for the way of a
    request and for timers of the target that fire early. */
constexpr double kUsedIdlePart = 0.7;

/** Idle connections to one target; more than its usual slots are not needed. */
constexpr size_t kMostIdle = 16;

}  // namespace

TargetLinkPtr TargetLinkPool::Take(const std::string& key, TimePoint now) {
  const auto found = idle_.find(key);
  if (found == idle_.end()) return nullptr;
  std::vector<TargetLinkPtr>& links = found->second;
  while (!links.empty()) {
    TargetLinkPtr link = std::move(links.back());
    links.pop_back();
    if (now < link->usable_until && IsQuiet(link->socket)) return link;
  }
  return nullptr;
}

void TargetLinkPool::Put(const std::string& key, TargetLinkPtr link,
                         Duration idle_limit, TimePoint now) {
  std::vector<TargetLinkPtr>& links = idle_[key];
  if (links.size() >= kMostIdle) return;
  link->usable_until = now + FromSeconds(ToSeconds(idle_limit) * kUsedIdlePart);
  links.push_back(std::move(link));
}

void TargetLinkPool::Sweep(TimePoint now) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second, [&](const TargetLinkPtr& link) {
      return link->usable_until <= now;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

}  // namespace greengage
