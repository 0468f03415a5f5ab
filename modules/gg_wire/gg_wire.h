#ifndef GG_WIRE_GG_WIRE_H_
#define GG_WIRE_GG_WIRE_H_

/** @file
    gg_wire: encoding of the messages between daemons.

    Purpose: encodes peer messages, heartbeats of entry hosts and relayed
    changes as FlatBuffers, and verifies and decodes them.
    Depends on: gg_core, gg_steering (for the message types).
*/

#include "gg_wire/change_relay_codec.h"
#include "gg_wire/entry_heartbeat_codec.h"
#include "gg_wire/frame_codec.h"

#endif  // GG_WIRE_GG_WIRE_H_
