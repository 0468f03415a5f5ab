#include "gg_http/memory_eviction.h"

#include <algorithm>

namespace greengage {
namespace {

/** How long a request waits for memory before it may be given up. Most bodies
    are read, answered and freed within this time. */
constexpr Duration kMinWait = std::chrono::milliseconds(500);

}  // namespace

std::vector<Eviction> ChooseEvictions(const std::vector<PeerHolding>& holdings,
                                      size_t bytes_to_free, TimePoint now) {
  std::vector<Eviction> evictions;
  if (bytes_to_free == 0) return evictions;
  std::vector<size_t> slow;
  for (size_t i = 0; i < holdings.size(); ++i) {
    const bool is_waiting = holdings[i].activity == PeerActivity::kWaiting;
    if (holdings[i].is_too_slow && !is_waiting) slow.push_back(i);
  }
  std::sort(slow.begin(), slow.end(), [&](size_t a, size_t b) {
    return holdings[a].bytes > holdings[b].bytes;
  });
  size_t freed_bytes = 0;
  for (const size_t i : slow) {
    if (freed_bytes >= bytes_to_free) break;
    freed_bytes += holdings[i].bytes;
    const bool is_sending = holdings[i].activity == PeerActivity::kSending;
    evictions.push_back({i, is_sending ? EvictionReason::kSlowResponse
                                       : EvictionReason::kSlowRequest});
  }
  if (!evictions.empty()) return evictions;
  const PeerHolding* newest = nullptr;
  for (const PeerHolding& holding : holdings) {
    if (holding.activity != PeerActivity::kWaiting) continue;
    if (now - holding.waits_since < kMinWait) continue;
    if (newest == nullptr ||
        holding.request_began_at > newest->request_began_at) {
      newest = &holding;
    }
  }
  if (newest != nullptr) {
    evictions.push_back({static_cast<size_t>(newest - holdings.data()),
                         EvictionReason::kNoMemory});
  }
  return evictions;
}

}  // namespace greengage
