#ifndef GG_FLEET_MEMBER_H_
#define GG_FLEET_MEMBER_H_

#include <cstdint>
#include <string>

namespace greengage {

/** One daemon as it stands in the store. */
struct Member {
  std::string name;
  std::string traffic_address;  // where callers connect
  std::string peer_address;     // where heartbeats go (UDP)
  std::string zone;
  std::string region;
  uint64_t incarnation = 0;  // start, Unix microseconds
};

}  // namespace greengage

#endif  // GG_FLEET_MEMBER_H_
