#ifndef GG_ENTRY_HEARTBEAT_SCHEDULE_H_
#define GG_ENTRY_HEARTBEAT_SCHEDULE_H_

#include <cstddef>
#include <cstdint>

#include "gg_core/time.h"

namespace greengage {

/** Decides when heartbeats are sent to which daemons.

    A daemon's own zone gets every round, as its daemons share targets. The
    number of datagrams grows with the square of the fleet's size, so that large
    fleets send less often. */
class HeartbeatSchedule {
 public:
  struct Options {
    /** Interval between rounds. The requests in flight change within one
        service time (0.2 to 1 s). At 250 ms the heartbeats between regions add
        less than 0.2 % to the present traffic between them. */
    Duration send_interval = std::chrono::milliseconds(250);
    /** The same in a fleet of more than `small_fleet_size` daemons. */
    Duration large_fleet_send_interval = std::chrono::milliseconds(500);
    size_t small_fleet_size = 24;  // daemons, with this one
    /** In a large fleet, one in this many rounds is sent to the other zones of
        the region. More than 1 only where daemons prefer the targets of their
        zone, and with a MemberRegistry that waits as much longer. */
    uint64_t rounds_per_other_zone_send = 1;
    /** One in this many rounds is sent to other regions. */
    uint64_t rounds_per_other_region_send = 4;
  };

  /** Receivers of one round besides the daemon's own zone. */
  struct Round {
    bool is_for_other_zones = true;
    bool is_for_other_regions = true;
  };

  /** @param offset  differs between daemons, so that those that started
     together take turns. */
  explicit HeartbeatSchedule(Options options, uint64_t offset = 0)
      : options_(options), offset_(offset) {}

  /** Returns the time until the next round.
      @param peers  number of other daemons. */
  Duration Interval(size_t peers) const {
    return IsSmallFleet(peers) ? options_.send_interval
                               : options_.large_fleet_send_interval;
  }

  /** Begins a round and returns who gets it. */
  Round BeginRound(size_t peers) {
    // Everybody hears a daemon that has just started.
    const uint64_t round = rounds_ == 0 ? 0 : rounds_ + offset_;
    ++rounds_;
    return {
        .is_for_other_zones = IsSmallFleet(peers) ||
                              round % options_.rounds_per_other_zone_send == 0,
        .is_for_other_regions =
            round % options_.rounds_per_other_region_send == 0};
  }

 private:
  bool IsSmallFleet(size_t peers) const {
    return peers < options_.small_fleet_size;
  }

  Options options_;
  uint64_t offset_;
  uint64_t rounds_ = 0;
};

}  // namespace greengage

#endif  // GG_ENTRY_HEARTBEAT_SCHEDULE_H_
