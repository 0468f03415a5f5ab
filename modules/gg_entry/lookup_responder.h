#ifndef GG_ENTRY_LOOKUP_RESPONDER_H_
#define GG_ENTRY_LOOKUP_RESPONDER_H_

#include "gg_entry/message_codec.h"
#include "gg_fleet/fleet_view.h"

namespace greengage {

/** Chooses the entry hosts that a caller is told: those of its region, and
   those of all regions only when its own has none.
    @param self  this daemon.
    @param serves  this daemon takes new callers. */
LookupResponse MakeLookupResponse(const LookupQuery& query,
                                  const FleetView& view, const Member& self,
                                  bool is_self_accepting, Duration ttl);

}  // namespace greengage

#endif  // GG_ENTRY_LOOKUP_RESPONDER_H_
