#ifndef GG_WIRE_GG_WIRE_H_
#define GG_WIRE_GG_WIRE_H_

/** @file
    gg_wire: frames between daemons.

    Purpose: turns typed peer messages into FlatBuffers frames and verified
   frames back into messages. Depends on: gg_core, gg_steering (for the message
   types).
*/

#include "gg_wire/frame_codec.h"

#endif  // GG_WIRE_GG_WIRE_H_
