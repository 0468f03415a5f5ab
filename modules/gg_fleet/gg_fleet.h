#ifndef GG_FLEET_GG_FLEET_H_
#define GG_FLEET_GG_FLEET_H_

/** @file
    gg_fleet: the state that the daemons of a fleet share.

    Purpose: the active configuration, the targets and their state, the daemons
    and whether they are alive. Uses no sockets, threads or clock.
    Depends on: gg_core.
*/

#include "gg_fleet/fleet_config.h"
#include "gg_fleet/fleet_event.h"
#include "gg_fleet/fleet_state.h"
#include "gg_fleet/fleet_view.h"
#include "gg_fleet/member.h"
#include "gg_fleet/member_registry.h"
#include "gg_fleet/target_record.h"
#include "gg_fleet/target_registry.h"

#endif  // GG_FLEET_GG_FLEET_H_
