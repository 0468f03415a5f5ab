#ifndef GG_FLEET_MEMBER_H_
#define GG_FLEET_MEMBER_H_

#include <cstdint>
#include <string>

namespace greengage {

/** A daemon as registered in the store. */
struct Member {
  std::string name;
  std::string traffic_address;  // endpoint for callers
  std::string peer_address;     // endpoint for heartbeats (UDP)
  std::string zone;
  std::string region;
  uint64_t incarnation = 0;    // start time, Unix microseconds
  double link_mbps = 0;        // rate of the host's network link; 0: unknown
  double processor_cores = 0;  // that the daemon may use; 0: unknown
};

}  // namespace greengage

#endif  // GG_FLEET_MEMBER_H_
