#ifndef GG_ENTRY_GG_ENTRY_H_
#define GG_ENTRY_GG_ENTRY_H_

/** @file
    gg_entry: the daemon of an entry host on the users' platform.

    Purpose: sessions with callers, attempts at targets, the store and the relay
    of its changes, heartbeats; the platform's names come in as hooks. What is
    decided lives in gg_fleet and gg_request.
    Depends on: gg_request, gg_http (header rules), gg_wire, gg_control.
*/

#include "gg_entry/entry_daemon.h"
#include "gg_entry/entry_platform.h"
#include "gg_entry/entry_settings.h"
#include "gg_entry/message_codec.h"

#endif  // GG_ENTRY_GG_ENTRY_H_
