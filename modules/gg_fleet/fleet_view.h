#ifndef GG_FLEET_FLEET_VIEW_H_
#define GG_FLEET_FLEET_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gg_fleet/fleet_config.h"
#include "gg_fleet/member.h"
#include "gg_fleet/target_record.h"

namespace greengage {

/** A target that may receive requests. */
struct UsableTarget {
  TargetRecord record;
  std::string region;
  TimePoint cold_until{};  // the target counts as cold until then
};

/** Snapshot of the fleet state, passed from the control thread to the traffic
    thread. Immutable. */
struct FleetView {
  uint64_t sequence = 0;  // increases with every view of this process
  FleetConfigPtr config;  // nullptr until the first one is received
  std::vector<UsableTarget> targets;
  std::set<std::string> evacuated_zones;  // as listed in the store
  /** Daemons that lookups return to callers, without this one. */
  std::vector<Member> serving_members;
  /** Destinations of the heartbeats: daemons of this daemon's region and of the
      other regions. */
  std::vector<std::string> own_region_peers;
  std::vector<std::string> other_region_peers;
  /** Those of `own_region_peers` that are in this daemon's zone. */
  std::vector<std::string> own_zone_peers;
  /** Daemon that relays the changes of the store; empty: watch the store
      directly. */
  std::string relay_address;
  /** Upper bound on the number of daemons that may currently send requests to
      targets, at least 1. */
  int sender_count = 1;
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

}  // namespace greengage

#endif  // GG_FLEET_FLEET_VIEW_H_
