#ifndef GG_WIRE_ENTRY_HEARTBEAT_CODEC_H_
#define GG_WIRE_ENTRY_HEARTBEAT_CODEC_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace greengage {

/** What a daemon tells of one target. */
struct TargetReport {
  int in_flight = 0;        // requests from the sender
  double slowness = 1;      // answer times against what is usual, to a tenth
  bool is_ejected = false;  // put to rest by the sender after failures
};

/** What an entry host's daemon tells the others several times a second. */
struct EntryHeartbeat {
  std::string sender;  // name of the host
  uint64_t incarnation = 0;
  bool is_leaving = false;
  bool is_store_reachable = false;  // the store answers the sender
  uint64_t store_revision = 0;      // of the newest change that it has seen
  /** Zones that get nothing, as the sender reads in the store. */
  std::set<std::string> evacuated_zones;
  std::map<uint64_t, TargetReport> targets;  // by the hash of the target
};

/** Returns the datagram of `heartbeat`. */
std::string EncodeEntryHeartbeat(const EntryHeartbeat& heartbeat);

/** Verifies and decodes a datagram.
    @param peer  its sender, for the error.
    @return kInvalidArgument for anything that is no whole heartbeat. */
absl::StatusOr<EntryHeartbeat> DecodeEntryHeartbeat(std::string_view datagram,
                                                    std::string_view peer);

}  // namespace greengage

#endif  // GG_WIRE_ENTRY_HEARTBEAT_CODEC_H_
