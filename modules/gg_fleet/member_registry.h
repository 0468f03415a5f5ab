#ifndef GG_FLEET_MEMBER_REGISTRY_H_
#define GG_FLEET_MEMBER_REGISTRY_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gg_core/time.h"
#include "gg_fleet/fleet_event.h"
#include "gg_fleet/member.h"

namespace greengage {

/** Table of the daemons: discovered through the store, judged alive by their
    heartbeats.

    Store and heartbeats confirm each other. A daemon is named to callers while
    it is heard; one that stands in the store and was never heard is named as
    well, so that a network without datagrams still works. Control thread only.
 */
class MemberRegistry {
 public:
  struct Options {
    Member self;
    /** Silence after which a daemon of the own region is no longer named to
        callers. Three heartbeats or more, so that single losses do not matter.
      */
    Duration heartbeat_timeout = std::chrono::milliseconds(1600);
    /** The same for daemons of other regions, which are sent a quarter of the
        heartbeats. */
    Duration other_region_heartbeat_timeout = std::chrono::milliseconds(4500);
    /** Daemons above which those of a zone hear of the store's changes from one
        of them. Below it each watches the store itself: that saves a step, and
        costs less than a hundredth of what the calls cost in a large fleet. */
    size_t max_members_without_relay = 24;
    /** How long a daemon that left the store still counts as a sender: longer
        than any request lasts. */
    Duration sender_retention = std::chrono::seconds(10);
  };

  explicit MemberRegistry(Options options) : options_(std::move(options)) {}

  //==============================================================================
  /** Enters a daemon that stands in the store. */
  void Put(const Member& member, TimePoint now);

  /** Notes that the daemon `name` no longer stands in the store. */
  void Remove(const std::string& name, TimePoint now);

  /** Notes a heartbeat. A leaving daemon is not named to callers any more. */
  void RecordHeartbeat(const PeerHeartbeat& heartbeat, TimePoint now);

  /** Forgets daemons that left long ago. */
  void Tick(TimePoint now);

  //==============================================================================
  /** Returns the daemons to name to callers, without this one. */
  std::vector<Member> ServingMembers(TimePoint now) const;

  /** Returns the zones that daemons with a store call evacuated. */
  std::set<std::string> PeerReportedEvacuatedZones(TimePoint now) const;

  /** Returns the names of the daemons that stand in the store. */
  std::set<std::string> ListedNames() const;

  /** Returns whether the store fails everyone: more than half of the other
      daemons say so and none says otherwise, or there are no others. Daemons
     that are cut off together hear each other, but not the rest. */
  bool IsStoreUnreachableForAll(TimePoint now) const;

  /** Returns where heartbeats go: daemons of this one's region, and others. */
  std::vector<std::string> PeerAddresses(bool is_own_region) const;

  /** Returns the daemon of this one's zone to hear of the store's changes from;
      empty when this one is to watch the store itself. It is the first of those
      that are heard and have the store, in an order that is the same for all,
      so that no two daemons listen to each other. */
  std::string RelayAddress(TimePoint now) const;

  /** Returns a number that changes when Serving(), SenderCount() or
      RelayAddress() does. */
  uint64_t Fingerprint(TimePoint now) const;

  /** Returns an upper bound on the daemons that may be sending, this one
      included. */
  int SenderCount(TimePoint now) const;

 private:
  struct Row {
    Member member;
    bool is_in_store = false;
    bool is_leaving = false;
    bool store_reachable = false;
    std::set<std::string> evacuated_zones;
    std::optional<TimePoint> last_heartbeat_at;
    TimePoint registered_at{};
    TimePoint removed_at{};
  };

  bool HasRecentHeartbeat(const Row& row, TimePoint now) const;
  bool IsServing(const Row& row, TimePoint now) const;
  bool MayBeSending(const Row& row, TimePoint now) const;

  Options options_;
  std::map<std::string, Row> rows_;
};

}  // namespace greengage

#endif  // GG_FLEET_MEMBER_REGISTRY_H_
