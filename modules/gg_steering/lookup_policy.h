#ifndef GG_STEERING_LOOKUP_POLICY_H_
#define GG_STEERING_LOOKUP_POLICY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gg_steering/member_record.h"

namespace greengage {

/** Parameters of ChooseEntryHosts(). */
struct LookupQuery {
  std::string service;
  uint32_t client = 0;  // IPv4 address, host byte order
  std::string home_region;
  size_t max_hosts = 3;
};

/** Address bits within a block of clients. All clients of a block, a /24, get
    the same answer. */
inline constexpr int kClientBlockBits = 8;

/** Returns up to `query.max_hosts` entry hosts for a client, best first.

    Only hosts that are alive are returned, or the suspected ones when no host
    is alive; leaving and removed hosts are never returned. Hosts of the home
    region come first. Hosts that are equal so far are ordered by rendezvous
    hashing over the block of clients, so that the order stays the same while
    the membership does, and a change of one host moves only the blocks of this
    host. (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
    Rates", 1998.) */
std::vector<MemberRecord> ChooseEntryHosts(
    const std::vector<MemberRecord>& members, const LookupQuery& query);

}  // namespace greengage

#endif  // GG_STEERING_LOOKUP_POLICY_H_
