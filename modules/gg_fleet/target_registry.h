#ifndef GG_FLEET_TARGET_REGISTRY_H_
#define GG_FLEET_TARGET_REGISTRY_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gg_core/time.h"
#include "gg_fleet/fleet_view.h"

namespace greengage {

struct FleetConfig;

/** Table of the targets that stand in the store.

    A target is usable while its entry says it is ready and its zone is not
    evacuated. An entry that is missing after an outage of the store is used for
   a grace time, because entries lapse during an outage and come back soon after
    it. One that is missing after this daemon alone was cut off is gone. A
   target counts as cold until it is known to be warm.

    Control thread only; callers pass the time. */
class TargetRegistry {
 public:
  struct Options {
    std::map<std::string, std::string> zone_regions;
    /** How long after an outage a missing entry is used. Targets are back about
        two seconds after the store; the operators' drain bound is 2.5 s. */
    Duration outage_grace_period = std::chrono::milliseconds(2000);
  };

  explicit TargetRegistry(Options options) : options_(std::move(options)) {}

  //==============================================================================
  /** Enters or replaces a target.
      @param wall_ms  the time of day, Unix milliseconds. */
  void Put(const TargetRecord& record, const FleetConfig* config, TimePoint now,
           uint64_t wall_ms);

  /** Takes out the target `id`: at once, or when the grace time after an outage
      is over. */
  void Remove(const std::string& id, TimePoint now);

  /** Notes that the store answers no daemon at `now`. */
  void RecordStoreOutage(TimePoint now) { last_outage_ = now; }

  /** Sets the zones that get nothing. Targets of a zone that comes back count
      as cold. */
  void SetEvacuatedZones(const std::set<std::string>& zones,
                         const FleetConfig* config, TimePoint now);

  /** Drops entries whose grace time is over.
      @return true when the usable set changed. */
  bool Tick(TimePoint now);

  //==============================================================================
  /** Returns the targets that may be sent work. */
  std::vector<UsableTarget> UsableTargets() const;

  /** Returns the identifiers of all entries. */
  std::set<std::string> TargetIds() const;

 private:
  struct Row {
    UsableTarget target;
    std::optional<TimePoint> remove_at;
  };

  Duration ColdDuration(const std::string& service,
                        const FleetConfig* config) const;

  Options options_;
  std::map<std::string, Row> rows_;
  std::set<std::string> evacuated_zones_;
  std::optional<TimePoint> last_outage_;
};

}  // namespace greengage

#endif  // GG_FLEET_TARGET_REGISTRY_H_
