#ifndef GG_ENTRY_GG_ENTRY_H_
#define GG_ENTRY_GG_ENTRY_H_

/** @file
    gg_entry: the daemon of an entry host on the users' platform.

    Purpose: sockets, timers and threads of the daemon. It holds the HTTP
    sessions with callers, sends attempts to targets, follows the store, relays
    the store's changes and exchanges heartbeats with other daemons. Names and
    formats of the platform are supplied as hooks; see EntryPlatform. The
    decisions are made in gg_fleet and gg_request.
    Depends on: gg_request, gg_http (header rules), gg_wire, gg_control.
*/

#include "gg_entry/entry_daemon.h"
#include "gg_entry/entry_platform.h"
#include "gg_entry/entry_settings.h"
#include "gg_entry/message_codec.h"

#endif  // GG_ENTRY_GG_ENTRY_H_
