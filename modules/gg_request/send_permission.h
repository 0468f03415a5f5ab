#ifndef GG_REQUEST_SEND_PERMISSION_H_
#define GG_REQUEST_SEND_PERMISSION_H_

#include <optional>

#include "gg_core/enum_names.h"
#include "gg_core/time.h"

namespace greengage {

/** Why this daemon may not send a request to a target. */
enum class SendBarrier {
  kNone,
  kUnlisted,   // gone, draining or evacuated, by the store
  kAbsent,     // its address is closed, or belongs to another target
  kLeaving,    // it said that it is leaving, and its time to drain has passed
  kPaused,     // it asked for a pause that has not ended
  kColdShare,  // it is cold, and this daemon's share of its rate is used up
};

inline constexpr size_t kSendBarrierCount = 6;

inline constexpr EnumNames<SendBarrier, kSendBarrierCount> kSendBarrierNames{
    {"none", "unlisted", "absent", "leaving", "paused", "cold_share"}};

/** Whether this daemon may send a request to a target, why not, and when
    again. */
struct SendPermission {
  SendBarrier barrier = SendBarrier::kNone;
  /** When the barrier ends, if that is known. */
  std::optional<TimePoint> ends_at;
  /** The target is leaving. It is used only if there is no other. */
  bool is_last_resort = false;

  bool is_granted() const { return barrier == SendBarrier::kNone; }
};

}  // namespace greengage

#endif  // GG_REQUEST_SEND_PERMISSION_H_
