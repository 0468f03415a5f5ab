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

/** Table of the other daemons, which are discovered through the store and
    monitored by their heartbeats.

    Lookups return a daemon to callers while its heartbeats arrive. A daemon
    that is listed in the store and has never sent a heartbeat is returned as
    well, so that the fleet still works in a network that drops datagrams.

    Control thread only; callers pass the time. */
class MemberRegistry {
 public:
  struct Options {
    Member self;
    /** Time without a heartbeat after which a daemon of this daemon's region is
        no longer returned to callers. At least three heartbeat intervals, so
        that the loss of a single heartbeat has no effect. */
    Duration heartbeat_timeout = std::chrono::milliseconds(1600);
    /** The same for daemons of the region's other zones, if the fleet has more
        than `small_fleet_size` daemons. More than twice the interval of
        HeartbeatSchedule to these zones. */
    Duration other_zone_heartbeat_timeout = std::chrono::milliseconds(1600);
    size_t small_fleet_size = 24;  // daemons, with this one
    /** The same for daemons of other regions. It is longer because heartbeats
        between regions are sent at a quarter of the rate. */
    Duration other_region_heartbeat_timeout = std::chrono::milliseconds(4500);
    /** Largest number of daemons that all watch the store directly. In a larger
        fleet one daemon of each zone relays the changes to the others of the
        zone. Watching directly saves a network hop, and in a small fleet the
        store calls cost less than a hundredth of those in a large fleet. */
    size_t max_members_without_relay = 24;
    /** How long a daemon that was removed from the store still counts as a
        sender. Longer than the longest request. */
    Duration sender_retention = std::chrono::seconds(10);
  };

  explicit MemberRegistry(Options options) : options_(std::move(options)) {}

  //==============================================================================
  /** Adds or updates a daemon that is listed in the store. */
  void Put(const Member& member, TimePoint now);

  /** Adds a daemon that a copy of the store lists. It may have left since, so
      lookups return it only once it is heard. The same holds for another
      incarnation of a known daemon: it may be older or newer than the known
      one, which stays until the other one is heard. */
  void PutFromCopy(const Member& member, TimePoint now);

  /** Records that the daemon `name` is no longer listed in the store. */
  void Remove(const std::string& name, TimePoint now);

  /** Records a heartbeat. Ignores daemons that are not in the table and
      heartbeats of another incarnation. A daemon that announces that it is
      leaving is no longer returned to callers. */
  void RecordHeartbeat(const PeerHeartbeat& heartbeat, TimePoint now);

  /** Erases daemons that no longer count as senders. */
  void Tick(TimePoint now);

  //==============================================================================
  /** Returns the daemons that lookups return to callers, without this one. */
  std::vector<Member> ServingMembers(TimePoint now) const;

  /** Returns the evacuated zones reported by daemons that reach the store. */
  std::set<std::string> PeerReportedEvacuatedZones(TimePoint now) const;

  /** Returns the names of the daemons that are listed in the store. */
  std::set<std::string> ListedNames() const;

  /** Returns whether the store is presumed unreachable for the whole fleet.

      This holds when more than half of the other daemons report that they
      cannot reach it and none reports that it can, or when there are no other
      daemons. A majority is required because daemons on the same side of a
      network partition receive each other's heartbeats but not those of the
      other side. */
  bool IsStoreUnreachableForAll(TimePoint now) const;

  /** Returns the heartbeat addresses of the daemons in this daemon's region if
      `is_own_region` is true, else of those in all other regions. */
  std::vector<std::string> PeerAddresses(bool is_own_region) const;

  /** Returns the heartbeat addresses of the daemons in this daemon's zone. */
  std::vector<std::string> OwnZonePeerAddresses() const;

  /** Returns the peer address of the daemon that relays the changes of the
      store to this one; empty when this daemon watches the store directly.

      The relay is a daemon of the same zone that reaches the store and sends
      heartbeats. All daemons choose it by the lowest hash of the name, so that
      no two daemons relay to each other. */
  std::string RelayAddress(TimePoint now) const;

  /** Returns a hash that changes when the result of ServingMembers(),
      SenderCount() or RelayAddress() does. */
  uint64_t Fingerprint(TimePoint now) const;

  /** Returns an upper bound on the number of daemons that may currently send
      requests to targets, including this one. */
  int SenderCount(TimePoint now) const;

 private:
  struct Row {
    Member member;
    bool is_in_store = false;
    bool is_leaving = false;
    bool store_reachable = false;
    bool must_be_heard = false;  // before lookups return it
    /** Another incarnation that a copy of the store lists. */
    std::optional<Member> unheard_incarnation;
    std::set<std::string> evacuated_zones;
    std::optional<TimePoint> last_heartbeat_at;
    TimePoint registered_at{};
    TimePoint removed_at{};
  };

  /** Returns the time without a heartbeat after which `member` is not
      returned to callers. */
  Duration HeartbeatTimeout(const Member& member) const;
  bool HasRecentHeartbeat(const Row& row, TimePoint now) const;
  bool IsServing(const Row& row, TimePoint now) const;
  bool MayBeSending(const Row& row, TimePoint now) const;

  Options options_;
  std::map<std::string, Row> rows_;
};

}  // namespace greengage

#endif  // GG_FLEET_MEMBER_REGISTRY_H_
