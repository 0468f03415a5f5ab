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

/** A version of the configuration was read from the store. */
struct ConfigReceived {
  FleetConfigPtr config;
};

/** A target was added to the store or its entry changed. */
struct TargetListed {
  TargetRecord record;
};

/** A target's entry was deleted from the store or is no longer valid. */
struct TargetUnlisted {
  std::string id;
};

/** The evacuation of an availability zone was started or ended. Targets in an
    evacuated zone receive no requests. */
struct EvacuationChanged {
  std::string zone;
  bool is_evacuated = false;
};

/** A daemon was added to the store or its entry changed. */
struct MemberListed {
  Member member;
};

/** A daemon's entry was deleted from the store. */
struct MemberUnlisted {
  std::string name;
};

/** A value in the store is invalid; the last valid one stays active. */
struct ValueRefused {
  std::string key;  // as it can be logged
  std::string reason;
  std::string target_id;    // of a target's entry, or empty
  std::string member_name;  // of a daemon's entry, or empty
};

/** The store was restored from an older copy. The entries that follow, up to
    the next SnapshotComplete, may be older than what is known of them. */
struct StoreRestored {};

/** All entries of the store have been reported. Entries that are not listed
    here do not exist in the store. */
struct SnapshotComplete {
  std::set<std::string> target_ids;
  std::set<std::string> member_names;
  std::set<std::string> evacuated_zones;
};

/** The store started or stopped answering this daemon. */
struct StoreReachabilityChanged {
  bool is_reachable = false;
  std::string reason;
};

/** The newest heartbeat of another daemon. */
struct PeerHeartbeat {
  std::string name;
  uint64_t incarnation = 0;
  bool is_leaving = false;
  bool store_reachable = false;           // from the sender
  std::set<std::string> evacuated_zones;  // as the sender sees the store
};

/** The heartbeats received during one interval. */
struct HeartbeatsReceived {
  std::vector<PeerHeartbeat> heartbeats;
};

/** An event that changes this daemon's view of the fleet. */
using FleetEvent = std::variant<ConfigReceived, TargetListed, TargetUnlisted,
                                EvacuationChanged, MemberListed, MemberUnlisted,
                                ValueRefused, StoreRestored, SnapshotComplete,
                                StoreReachabilityChanged, HeartbeatsReceived>;

}  // namespace greengage

#endif  // GG_FLEET_FLEET_EVENT_H_
