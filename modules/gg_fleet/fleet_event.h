#ifndef GG_FLEET_FLEET_EVENT_H_
#define GG_FLEET_FLEET_EVENT_H_

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "gg_fleet/fleet_config.h"
#include "gg_fleet/member.h"
#include "gg_fleet/target_record.h"

namespace greengage {

/** A version of the configuration stands in the store. */
struct ConfigReceived {
  FleetConfigPtr config;
};

/** A target stands in the store. */
struct TargetListed {
  TargetRecord record;
};

/** A target's entry is gone, or names no target that could be used. */
struct TargetUnlisted {
  std::string id;
};

/** A zone is, or is no longer, to be left without work. */
struct EvacuationChanged {
  std::string zone;
  bool is_evacuated = false;
};

/** A daemon stands in the store. */
struct MemberListed {
  Member member;
};

/** A daemon's entry is gone. */
struct MemberUnlisted {
  std::string name;
};

/** A value in the store can't be used; the last good one holds. */
struct ValueRefused {
  std::string key;
  std::string reason;
};

/** Everything that stands in the store has been told; what is not named here
    does not stand there. */
struct SnapshotComplete {
  std::set<std::string> target_ids;
  std::set<std::string> member_names;
  std::set<std::string> evacuated_zones;
};

/** The store does, or does not, answer this daemon. */
struct StoreReachabilityChanged {
  bool is_reachable = false;
  std::string reason;
};

/** The newest heartbeat of another daemon. */
struct PeerHeartbeat {
  std::string name;
  uint64_t incarnation = 0;
  bool is_leaving = false;
  bool store_reachable = false;           // for the sender
  std::set<std::string> evacuated_zones;  // zones, as the sender reads them
};

/** The heartbeats of one interval. */
struct HeartbeatsReceived {
  std::vector<PeerHeartbeat> heartbeats;
};

/** Something that changes what the daemon believes of the fleet. */
using FleetEvent = std::variant<ConfigReceived, TargetListed, TargetUnlisted,
                                EvacuationChanged, MemberListed, MemberUnlisted,
                                ValueRefused, SnapshotComplete,
                                StoreReachabilityChanged, HeartbeatsReceived>;

}  // namespace greengage

#endif  // GG_FLEET_FLEET_EVENT_H_
