#ifndef GG_ENTRY_ENTRY_SETTINGS_H_
#define GG_ENTRY_ENTRY_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>

#include "gg_core/time.h"
#include "gg_request/tenant_rate_limiter.h"

namespace greengage {

/** Limits set by the operators. They may change while the daemon runs. */
struct EntryBounds {
  Duration stop_grace_period{};  // from SIGTERM to SIGKILL
  double retry_ratio = 0;        // retries per request, over the whole fleet
  double retry_allowance = 0;    // further retries per window, whole fleet
  Duration retry_window{};
  double cold_overshoot = 1;  // factor on the rate of a cold target
  double cold_allowance = 0;  // further requests per second to a cold target
  /** How long a target that is leaving may still be sent requests. */
  Duration drain_time{};
  Duration max_lookup_ttl{};
  TenantLimitBounds tenant_limits;

  friend bool operator==(const EntryBounds&, const EntryBounds&) = default;
};

/** Settings of an entry host's daemon. Only `bounds` can be reloaded; all other
    fields are read once at start. */
struct EntrySettings {
  std::string host_name;
  std::string zone;
  std::string region;
  std::string ip;
  std::string traffic_address;  // "ip:port" for callers' requests
  std::string health_address;   // "ip:port" for health checks and metrics
  std::string lookup_address;   // "ip:port" for callers' lookups
  uint16_t peer_port = 0;       // UDP: heartbeats; TCP: relayed store changes
  std::string store_address;
  std::map<std::string, std::string> zone_regions;

  int64_t memory_mb = 0;
  int64_t max_file_descriptors = 0;
  double link_mbps = 0;        // rate of the host's network link; 0: unknown
  double processor_cores = 0;  // that the daemon may use; 0: unknown
  /** Whether callers compete for too little capacity at times, so that requests
      are admitted by when their answers would arrive. */
  bool expects_overload = false;

  EntryBounds bounds;
};

}  // namespace greengage

#endif  // GG_ENTRY_ENTRY_SETTINGS_H_
