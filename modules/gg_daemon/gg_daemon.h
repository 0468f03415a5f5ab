#ifndef GG_DAEMON_GG_DAEMON_H_
#define GG_DAEMON_GG_DAEMON_H_

/** @file
    gg_daemon: the daemon process.

    Purpose: reads the settings, connects daemons to each other, runs the
    controller, and starts and stops the daemon.
    Depends on: gg_core, gg_control, gg_insight, gg_document, gg_steering,
    gg_wire, gg_store, gg_http.
*/

#include "gg_daemon/control_actor.h"
#include "gg_daemon/control_message.h"
#include "gg_daemon/daemon.h"
#include "gg_daemon/peer_mesh.h"
#include "gg_daemon/settings.h"

#endif  // GG_DAEMON_GG_DAEMON_H_
