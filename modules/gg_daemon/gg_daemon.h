#ifndef GG_DAEMON_GG_DAEMON_H_
#define GG_DAEMON_GG_DAEMON_H_

/** @file
    gg_daemon: the parts of one daemon put together.

    Purpose: settings, connections between daemons, the control actor, and the
    daemon's life from start to drained stop.
    Depends on: gg_core, gg_insight, gg_document, gg_steering, gg_wire,
   gg_store, gg_http.
*/

#include "gg_daemon/control_actor.h"
#include "gg_daemon/control_message.h"
#include "gg_daemon/daemon.h"
#include "gg_daemon/peer_mesh.h"
#include "gg_daemon/settings.h"

#endif  // GG_DAEMON_GG_DAEMON_H_
