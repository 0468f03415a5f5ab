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

/** A target that may be sent work. */
struct UsableTarget {
  TargetRecord record;
  std::string region;
  TimePoint cold_until{};  // counts as cold until then
};

/** What the control thread tells the traffic thread. Immutable. */
struct FleetView {
  uint64_t sequence = 0;  // grows with each view of one process
  FleetConfigPtr config;  // nullptr before the first one was read
  std::vector<UsableTarget> targets;
  std::set<std::string> evacuated_zones;  // zones, as the store says
  std::vector<Member>
      serving_members;  // daemons to name to callers, without this one
  // Where heartbeats go: daemons of the own region, and of others.
  std::vector<std::string> own_region_peers;
  std::vector<std::string> other_region_peers;
  /** The daemon to hear of the store's changes from; empty: the store. */
  std::string relay_address;
  /** Upper bound on the daemons that may be sending now; at least 1. */
  int sender_count = 1;
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

}  // namespace greengage

#endif  // GG_FLEET_FLEET_VIEW_H_
