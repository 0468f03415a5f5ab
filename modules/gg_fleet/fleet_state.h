#ifndef GG_FLEET_FLEET_STATE_H_
#define GG_FLEET_FLEET_STATE_H_

#include <functional>
#include <map>
#include <set>
#include <string>

#include "gg_core/event.h"
#include "gg_fleet/fleet_event.h"
#include "gg_fleet/fleet_view.h"
#include "gg_fleet/member_registry.h"
#include "gg_fleet/target_registry.h"

namespace greengage {

/** Callbacks of FleetState, called on the control thread. */
struct FleetStateHooks {
  std::function<void(LogLevel level, Event event, const std::string& text)> log;
  /** Receives a new view whenever its content has changed. */
  std::function<void(FleetViewPtr view)> publish;
};

/** This daemon's view of the fleet: configuration, targets, evacuated
    availability zones and daemons. Every change is logged with its cause.

    Control thread only; callers pass the time. */
class FleetState {
 public:
  struct Options {
    TargetRegistry::Options targets;
    MemberRegistry::Options members;
  };

  FleetState(Options options, FleetStateHooks hooks);

  //==============================================================================
  /** Applies one event.
      @param wall_ms  the time of day, Unix milliseconds. */
  void Apply(const FleetEvent& event, TimePoint now, uint64_t wall_ms);

  /** Processes expired timeouts and publishes a view if anything changed. */
  void Tick(TimePoint now);

 private:
  void Handle(const ConfigReceived& event, TimePoint now, uint64_t wall_ms);
  void Handle(const TargetListed& event, TimePoint now, uint64_t wall_ms);
  void Handle(const TargetUnlisted& event, TimePoint now, uint64_t wall_ms);
  void Handle(const EvacuationChanged& event, TimePoint now, uint64_t wall_ms);
  void Handle(const MemberListed& event, TimePoint now, uint64_t wall_ms);
  void Handle(const MemberUnlisted& event, TimePoint now, uint64_t wall_ms);
  void Handle(const ValueRefused& event, TimePoint now, uint64_t wall_ms);
  void Handle(const StoreRestored& event, TimePoint now, uint64_t wall_ms);
  void Handle(const SnapshotComplete& event, TimePoint now, uint64_t wall_ms);
  void Handle(const StoreReachabilityChanged& event, TimePoint now,
              uint64_t wall_ms);
  void Handle(const HeartbeatsReceived& event, TimePoint now, uint64_t wall_ms);
  void UpdateEvacuatedZones(TimePoint now);
  void EndUnconfirmedEvacuations(TimePoint now);
  FleetView MakeView(TimePoint now);
  void Log(Event event, const std::string& text) const;

  FleetStateHooks hooks_;
  TargetRegistry targets_;
  MemberRegistry members_;
  FleetConfigPtr config_;
  std::set<std::string> store_evacuated_zones_;      // as listed in the store
  std::set<std::string> effective_evacuated_zones_;  // applied to targets_
  /** When evacuations end that a copy of the store lacks, by zone. */
  std::map<std::string, TimePoint> unconfirmed_evacuations_;
  bool is_reading_copy_ = false;  // since StoreRestored
  bool store_reachable_ = false;
  bool has_unpublished_changes_ = false;

  uint64_t view_sequence_ = 0;  // of the newest view
  uint64_t published_member_fingerprint_ = 0;
};

}  // namespace greengage

#endif  // GG_FLEET_FLEET_STATE_H_
