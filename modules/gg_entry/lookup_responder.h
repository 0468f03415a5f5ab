#ifndef GG_ENTRY_LOOKUP_RESPONDER_H_
#define GG_ENTRY_LOOKUP_RESPONDER_H_

#include <cstddef>

#include "gg_core/random.h"
#include "gg_entry/message_codec.h"
#include "gg_fleet/fleet_view.h"

namespace greengage {

/** How lookups are answered. */
struct LookupOptions {
  Duration ttl{};  // how long the caller may cache the response
  /** Link rate at which requests use up one core: a daemon needs about 0.7 ms
      of a core for a request, and a response of the deployments with downloads
      has 9 KB on average. A host's capacity is bounded by both. */
  double link_mbps_per_core = 100;
  /** Smallest number of addresses in a weighted response, if there are as many
      hosts. Callers use a response for `ttl`, so that another address must be
      left when one host has failed and a second one is unreachable. */
  size_t min_addresses = 3;
  /** Smallest number of hosts of the caller's zone that are named without those
      of the other zones of its region. */
  size_t min_zone_hosts = 3;
  /** Smallest capacity of the hosts of the caller's zone, relative to the mean
      of the region's zones, at which only they are named. */
  double min_zone_capacity = 0.5;
  /** Number of hosts of the region's other zones that are named besides those
     of the caller's zone. They keep callers connected in the seconds after the
      loss of a whole zone, and get their part of all connections. */
  size_t other_zone_addresses = 0;
};

/** Returns the entry hosts for a caller: those of its region, or those of all
    regions when its own region has none.

    Load pattern: callers open each new connection to a random address of their
    response, and hosts differ in processor and link by a factor of five to
    twenty. If all of these hosts state their processor share, the response
    names a random subset, in which the probability of a host is in proportion
    to its capacity, from the caller's zone if that has enough hosts and
    capacity and is not evacuated. Otherwise it names all of them.
    @param self  this daemon.
    @param is_self_accepting  whether this daemon accepts new callers. */
LookupResponse MakeLookupResponse(const LookupQuery& query,
                                  const FleetView& view, const Member& self,
                                  bool is_self_accepting,
                                  const LookupOptions& options, Random* random);

}  // namespace greengage

#endif  // GG_ENTRY_LOOKUP_RESPONDER_H_
