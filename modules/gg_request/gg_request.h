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
#include "gg_request/cold_target_limiter.h"
#include "gg_request/fleet_retry_budget.h"
#include "gg_request/object_distribution.h"
#include "gg_request/object_key.h"
#include "gg_request/region_plan.h"
#include "gg_request/retry_delay.h"
#include "gg_request/route_table.h"
#include "gg_request/target_picker.h"
#include "gg_request/target_status_table.h"
#include "gg_request/weighted_round_robin.h"

#endif  // GG_REQUEST_GG_REQUEST_H_
