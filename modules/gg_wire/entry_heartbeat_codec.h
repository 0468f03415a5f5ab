#ifndef GG_WIRE_ENTRY_HEARTBEAT_CODEC_H_
#define GG_WIRE_ENTRY_HEARTBEAT_CODEC_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "gg_core/rate_limit_report.h"
#include "gg_core/store_position.h"
#include "gg_core/tenant_load_report.h"

namespace greengage {

/** State of one target as the sender of a heartbeat sees it. */
struct TargetReport {
  int in_flight = 0;  // requests that the sender has in flight
  /** Ratio of the response time to the usual response time, sent in tenths. */
  double slowness = 1;
  /** The sender does not use the target because of failures. */
  bool is_ejected = false;
};

/** Heartbeat that the daemon of an entry host sends to the others several times
    per second. */
struct EntryHeartbeat {
  std::string sender;  // name of the host
  uint64_t incarnation = 0;
  bool is_leaving = false;
  bool is_store_reachable = false;  // by the sender
  StorePosition store_position;     // of the latest change it received
  /** Availability zones that receive no requests, according to the sender's
      last read of the store. */
  std::set<std::string> evacuated_zones;
  std::map<uint64_t, TargetReport> targets;  // by hash of the target id
  /** By hash of the target's id and incarnation. */
  std::map<uint64_t, RateLimitReport> rate_limits;
  TenantLoadReports tenants;
};

/** Encodes a heartbeat as a datagram. */
std::string EncodeEntryHeartbeat(const EntryHeartbeat& heartbeat);

/** Verifies and decodes a datagram.
    @param peer  the sender, used in the error.
    @return kInvalidArgument when the bytes are not a valid heartbeat. */
absl::StatusOr<EntryHeartbeat> DecodeEntryHeartbeat(std::string_view datagram,
                                                    std::string_view peer);

}  // namespace greengage

#endif  // GG_WIRE_ENTRY_HEARTBEAT_CODEC_H_
