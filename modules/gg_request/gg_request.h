#ifndef GG_REQUEST_GG_REQUEST_H_
#define GG_REQUEST_GG_REQUEST_H_

/** @file
    gg_request: what happens to one request.

    Purpose: its route, its service, its region and target, the pace towards
   cold targets, and what follows a failed attempt. No sockets, threads or
   clock. Depends on: gg_core, gg_fleet.
*/

#include "gg_request/arrival_rate.h"
#include "gg_request/attempt_policy.h"
#include "gg_request/cold_pacer.h"
#include "gg_request/object_key.h"
#include "gg_request/object_spread.h"
#include "gg_request/proportional_choice.h"
#include "gg_request/region_plan.h"
#include "gg_request/retry_allowance.h"
#include "gg_request/return_policy.h"
#include "gg_request/route_table.h"
#include "gg_request/target_board.h"
#include "gg_request/target_picker.h"

#endif  // GG_REQUEST_GG_REQUEST_H_
