#ifndef GG_CORE_HOST_ID_H_
#define GG_CORE_HOST_ID_H_

#include <cstdint>
#include <string>

namespace greengage {

/** Identity of one run of one daemon.

    `address` is the daemon's peer endpoint ("ip:port"). `incarnation` is the
    start time in microseconds since the Unix epoch, so it increases with every
    start at that address. Two processes never share a HostId, and a higher
    incarnation at an address proves that the previous process no longer holds
    the listening port. */
struct HostId {
  std::string address;
  uint64_t incarnation = 0;

  friend bool operator==(const HostId&, const HostId&) = default;
  friend auto operator<=>(const HostId&, const HostId&) = default;
};

}  // namespace greengage

#endif  // GG_CORE_HOST_ID_H_
