#include "gg_request/cold_target_limiter.h"

#include <algorithm>
#include <cmath>

#include "gg_core/hash.h"

namespace greengage {
namespace {

/** One second plus a margin for the differences in network delay between the
    daemons and a target (about 40 ms). */
constexpr Duration kRateWindow = std::chrono::milliseconds(1100);

}  // namespace

int ColdTargetLimiter::DaemonShare(const std::string& target_id, double rate,
                                   int sender_count) const {
  const auto fleet_requests =
      static_cast<int>(std::floor(rate + options_.allowance));
  const int requests_per_daemon = fleet_requests / std::max(sender_count, 1);
  if (requests_per_daemon > 0) return requests_per_daemon;
  // Fewer requests than daemons: a hash selects the daemons that may send one.
  // On average it selects half as many daemons as there are requests: the
  // daemons decide independently, so that the number selected varies.
  const uint64_t hash = Hash64(options_.self + "/" + target_id);
  const auto threshold = static_cast<uint64_t>(std::max(fleet_requests / 2, 1));
  return hash % static_cast<uint64_t>(sender_count) < threshold ? 1 : 0;
}

void ColdTargetLimiter::RemoveExpired(std::deque<TimePoint>* send_times,
                                      TimePoint now) const {
  while (!send_times->empty() && now - send_times->front() >= kRateWindow) {
    send_times->pop_front();
  }
}

bool ColdTargetLimiter::CanTake(const std::string& target_id, double rate,
                                int sender_count, TimePoint now) {
  std::deque<TimePoint>& send_times = send_times_[target_id];
  RemoveExpired(&send_times, now);
  return static_cast<int>(send_times.size()) <
         DaemonShare(target_id, rate, sender_count);
}

bool ColdTargetLimiter::TryTake(const std::string& target_id, double rate,
                                int sender_count, TimePoint now) {
  if (!CanTake(target_id, rate, sender_count, now)) return false;
  send_times_[target_id].push_back(now);
  return true;
}

}  // namespace greengage
