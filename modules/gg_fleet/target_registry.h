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

/** Table of the targets that are listed in the store.

    A target is usable while it is not draining and its zone is not evacuated.
    An entry that is missing after an outage of the store stays usable for a
    grace period, because entries expire during an outage and are written again
    soon after it. An entry that is missing after only this daemon was cut off
    from the store is removed at once. A target counts as cold until it is known
    to be warm.

    Control thread only; callers pass the time. */
class TargetRegistry {
 public:
  struct Options {
    std::map<std::string, std::string> zone_regions;
    /** How long after an outage a missing entry stays usable. Targets register
        again about two seconds after the store is back. The operators' limit
        for draining a target is 2.5 s. */
    Duration outage_grace_period = std::chrono::milliseconds(2000);
    /** How long a removed target is remembered. Longer than the age of a copy
        from which the store may be restored. */
    Duration removed_retention = std::chrono::seconds(60);
  };

  explicit TargetRegistry(Options options) : options_(std::move(options)) {}

  //==============================================================================
  /** Adds or replaces a target.
      @param wall_ms  the time of day, Unix milliseconds. */
  void Put(const TargetRecord& record, const FleetConfig* config, TimePoint now,
           uint64_t wall_ms);

  /** Removes the target `id`, at once or at the end of the grace period after
      an outage. */
  void Remove(const std::string& id, TimePoint now);

  /** Records that no daemon can reach the store at `now`. */
  void RecordStoreOutage(TimePoint now) { last_outage_ = now; }

  /** Sets the evacuated zones, whose targets receive no requests. When the
      evacuation of a zone ends, its targets count as cold. */
  void SetEvacuatedZones(const std::set<std::string>& zones,
                         const FleetConfig* config, TimePoint now);

  /** Returns whether an entry of a copy of the store is older than what is
      known of the target: it was draining or had left since, or was started
      again. */
  bool IsOutdated(const TargetRecord& record) const;

  /** Removes entries whose grace period is over.
      @return true when the usable set changed. */
  bool Tick(TimePoint now);

  //==============================================================================
  /** Returns the targets that may receive requests. */
  std::vector<UsableTarget> UsableTargets() const;

  /** Returns the identifiers of all entries. */
  std::set<std::string> TargetIds() const;

 private:
  struct Row {
    UsableTarget target;
    std::optional<TimePoint> remove_at;
  };

  /** Last entry of a target that was removed. */
  struct RemovedTarget {
    uint64_t incarnation_ms = 0;
    double sequence = 0;
    TimePoint removed_at{};
  };

  void RecordRemoval(const TargetRecord& record, TimePoint now);
  Duration ColdDuration(const std::string& service,
                        const FleetConfig* config) const;

  Options options_;
  std::map<std::string, Row> rows_;
  std::map<std::string, RemovedTarget> removed_;  // by target id
  std::set<std::string> evacuated_zones_;
  std::optional<TimePoint> last_outage_;
};

}  // namespace greengage

#endif  // GG_FLEET_TARGET_REGISTRY_H_
