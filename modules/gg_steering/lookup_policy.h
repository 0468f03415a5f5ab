#ifndef GG_STEERING_LOOKUP_POLICY_H_
#define GG_STEERING_LOOKUP_POLICY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gg_steering/member_record.h"

namespace greengage {

/** What a look-up is answered from. */
struct LookupQuery {
  std::string service;
  uint32_t client = 0;  // IPv4, host byte order
  std::string home_region;
  size_t max_hosts = 3;
};

/** Size of a block of clients that gets one answer: a /24. */
inline constexpr int kClientBlockBits = 8;

/** Returns the entry hosts to use, best first.

    Hosts that are alive come before suspects, which are named only when nobody
    else is left; leaving and removed hosts are never named. Hosts of the home
    region come first. Among equals the order is fixed by rendezvous hashing
   over the block of clients, so that it stays as it is while the member list
   does and a change moves only the blocks of the host that changed. (Thaler and
    Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.) */
std::vector<MemberRecord> ChooseEntryHosts(
    const std::vector<MemberRecord>& members, const LookupQuery& query);

}  // namespace greengage

#endif  // GG_STEERING_LOOKUP_POLICY_H_
