#ifndef GG_ENTRY_LOOKUP_RESPONDER_H_
#define GG_ENTRY_LOOKUP_RESPONDER_H_

#include "gg_entry/message_codec.h"
#include "gg_fleet/fleet_view.h"

namespace greengage {

/** Returns the entry hosts for a caller: those of its region, or those of all
    regions when its own region has none.
    @param self  this daemon.
    @param is_self_accepting  whether this daemon accepts new callers.
    @param ttl  how long the caller may cache the response. */
LookupResponse MakeLookupResponse(const LookupQuery& query,
                                  const FleetView& view, const Member& self,
                                  bool is_self_accepting, Duration ttl);

}  // namespace greengage

#endif  // GG_ENTRY_LOOKUP_RESPONDER_H_
