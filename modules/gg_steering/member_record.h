#ifndef GG_STEERING_MEMBER_RECORD_H_
#define GG_STEERING_MEMBER_RECORD_H_

#include <cstdint>
#include <string>

#include "gg_core/enum_names.h"
#include "gg_core/host_id.h"

namespace greengage {

/** State of a member, in ascending severity: of two records with the same
    incarnation and version the more severe one wins. */
enum class MemberState { kAlive, kLeaving, kSuspect, kRemoved };

inline constexpr EnumNames<MemberState, 4> kMemberStateNames{
    {"alive", "leaving", "suspect", "removed"}};

/** Identity, address, location and state of one daemon. The daemons exchange
    these records. */
struct MemberRecord {
  HostId id;
  std::string traffic_address;
  std::string zone;
  std::string region;
  uint64_t version = 0;  // incremented only by the daemon itself
  MemberState state = MemberState::kAlive;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

/** Returns whether `a` replaces `b`: by a newer incarnation, else by a newer
    version, else by a more severe state. */
bool Supersedes(const MemberRecord& a, const MemberRecord& b);

}  // namespace greengage

#endif  // GG_STEERING_MEMBER_RECORD_H_
