#ifndef GG_CONTROL_GG_CONTROL_H_
#define GG_CONTROL_GG_CONTROL_H_

/** @file
    gg_control: the scheduler that every daemon's control thread runs on.

    Purpose: one set-up of CAF for a single thread that does not poll.
    Depends on: CAF only.
*/

#include "gg_control/control_scheduler.h"

#endif  // GG_CONTROL_GG_CONTROL_H_
