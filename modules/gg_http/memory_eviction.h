#ifndef GG_HTTP_MEMORY_EVICTION_H_
#define GG_HTTP_MEMORY_EVICTION_H_

#include <cstddef>
#include <vector>

#include "gg_core/enum_names.h"
#include "gg_core/time.h"

namespace greengage {

/** Whether a peer transfers at least the minimum rate: `kMinBytes` within
    `kWindow`. The rate is looked at only while memory is short, so a slow peer
    is served as long as there is room. */
class TransferProgress {
 public:
  static constexpr size_t kMinBytes = size_t{8} * 1024;
  static constexpr Duration kWindow = std::chrono::seconds(4);

  /** Starts a window. */
  void Restart(TimePoint now) {
    window_began_at_ = now;
    window_bytes_ = 0;
  }

  void Record(size_t bytes, TimePoint now) {
    window_bytes_ += bytes;
    if (window_bytes_ >= kMinBytes) Restart(now);
  }

  bool IsTooSlow(TimePoint now) const {
    return now - window_began_at_ > kWindow;
  }

 private:
  TimePoint window_began_at_{};
  size_t window_bytes_ = 0;
};

/** What a peer does whose memory is held. */
enum class PeerActivity {
  kReceiving,  // its request is being read
  kWaiting,    // its request is not read on, as there is no memory
  kSending,    // it is being sent a response
};

/** Why a peer's memory is freed. */
enum class EvictionReason {
  kSlowRequest,   // it sends less than the minimum rate
  kSlowResponse,  // it receives less than the minimum rate
  kNoMemory,      // its request can't be read on
  kIdle,          // its connection is idle while there are too many
};

inline constexpr EnumNames<EvictionReason, 4> kEvictionReasonNames{
    {"slow_request", "slow_response", "no_memory", "idle"}};

/** One peer for which memory is held. */
struct PeerHolding {
  PeerActivity activity = PeerActivity::kReceiving;
  size_t bytes = 0;
  TimePoint request_began_at{};
  TimePoint waits_since{};  // while waiting
  bool is_too_slow = false;
};

struct Eviction {
  size_t index = 0;  // of the PeerHolding
  EvictionReason reason = EvictionReason::kSlowRequest;
};

/** Decides whose memory is freed while memory is short: that of peers below the
    minimum rate, the largest first. If there is none and peers wait, the newest
    waiting request is given up, so that older ones are read to their end.
    @param bytes_to_free  see MemoryBudget::BytesToFree() */
std::vector<Eviction> ChooseEvictions(const std::vector<PeerHolding>& holdings,
                                      size_t bytes_to_free, TimePoint now);

}  // namespace greengage

#endif  // GG_HTTP_MEMORY_EVICTION_H_
