#ifndef GG_ENTRY_ENTRY_SETTINGS_H_
#define GG_ENTRY_ENTRY_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>

#include "gg_core/time.h"

namespace greengage {

/** The operators' bounds. They may change while the daemon runs. */
struct EntryBounds {
  Duration stop_grace_period{};  // from SIGTERM to SIGKILL
  double retry_ratio = 0;        // repeats to requests, whole fleet
  double retry_allowance = 0;    // repeats beyond that in a window
  Duration retry_window{};
  double cold_overshoot = 1;  // factor on a cold target's rate
  double cold_allowance = 0;  // requests a second beyond that
  Duration max_lookup_ttl{};

  friend bool operator==(const EntryBounds&, const EntryBounds&) = default;
};

/** What an entry host's daemon is told at its start. */
struct EntrySettings {
  std::string host_name;
  std::string zone;
  std::string region;
  std::string ip;
  std::string traffic_address;  // callers' requests
  std::string health_address;   // health checks and metrics
  std::string lookup_address;   // callers' look-ups
  uint16_t peer_port = 0;       // heartbeats between daemons, UDP
  std::string store_address;
  std::map<std::string, std::string> zone_regions;

  int64_t memory_mb = 0;
  int64_t max_file_descriptors = 0;

  EntryBounds bounds;
};

}  // namespace greengage

#endif  // GG_ENTRY_ENTRY_SETTINGS_H_
