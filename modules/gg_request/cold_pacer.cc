#include "gg_request/cold_pacer.h"

#include <algorithm>
#include <cmath>

#include "gg_core/hash.h"

namespace greengage {
namespace {

/** A second, and the spread of the ways to a target (some 40 ms). */
constexpr Duration kWindow = std::chrono::milliseconds(1100);

}  // namespace

int ColdPacer::Share(const std::string& target_id, double rate,
                     int senders) const {
  const auto all = static_cast<int>(std::floor(rate + options_.slack));
  const int each = all / std::max(senders, 1);
  if (each > 0) return each;
  // Fewer requests than daemons: a hash picks about as many daemons as there
  // are requests, and half of that, because the picks are independent.
  const uint64_t draw = Hash64(options_.self + "/" + target_id);
  const auto bound = static_cast<uint64_t>(std::max(all / 2, 1));
  return draw % static_cast<uint64_t>(senders) < bound ? 1 : 0;
}

void ColdPacer::Expire(std::deque<TimePoint>* sent, TimePoint now) const {
  while (!sent->empty() && now - sent->front() >= kWindow) sent->pop_front();
}

bool ColdPacer::HasRoom(const std::string& target_id, double rate, int senders,
                        TimePoint now) {
  std::deque<TimePoint>& sent = sent_[target_id];
  Expire(&sent, now);
  return static_cast<int>(sent.size()) < Share(target_id, rate, senders);
}

bool ColdPacer::TryTake(const std::string& target_id, double rate, int senders,
                        TimePoint now) {
  if (!HasRoom(target_id, rate, senders, now)) return false;
  sent_[target_id].push_back(now);
  return true;
}

}  // namespace greengage
