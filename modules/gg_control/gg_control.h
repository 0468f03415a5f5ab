#ifndef GG_CONTROL_GG_CONTROL_H_
#define GG_CONTROL_GG_CONTROL_H_

/** @file
    gg_control: scheduler of the daemons' control threads.

    Purpose: configures CAF with a single thread that does not poll when idle.
    Depends on: CAF only.
*/

#include "gg_control/control_scheduler.h"

#endif  // GG_CONTROL_GG_CONTROL_H_
