#ifndef GG_REQUEST_GG_REQUEST_H_
#define GG_REQUEST_GG_REQUEST_H_

/** @file
    gg_request: decisions about a single request.

    Purpose: the choice of route, region and target, the request rate to cold
    targets, and the step after a failed attempt. Uses no sockets, threads or
    clocks. Depends on: gg_core, gg_fleet.
*/

#include "gg_request/admission.h"
#include "gg_request/arrival_rate.h"
#include "gg_request/attempt_policy.h"
#include "gg_request/caller_identity.h"
#include "gg_request/cold_target_limiter.h"
#include "gg_request/fleet_load.h"
#include "gg_request/fleet_retry_budget.h"
#include "gg_request/home_regions.h"
#include "gg_request/load_estimate.h"
#include "gg_request/object_distribution.h"
#include "gg_request/object_key.h"
#include "gg_request/recent_maximum.h"
#include "gg_request/region_plan.h"
#include "gg_request/retry_delay.h"
#include "gg_request/route_table.h"
#include "gg_request/send_permission.h"
#include "gg_request/service_times.h"
#include "gg_request/slow_average.h"
#include "gg_request/stop_admission.h"
#include "gg_request/target_load.h"
#include "gg_request/target_notices.h"
#include "gg_request/target_picker.h"
#include "gg_request/target_rate_limiter.h"
#include "gg_request/target_status_table.h"
#include "gg_request/tenant_directory.h"
#include "gg_request/tenant_rate_limiter.h"
#include "gg_request/weighted_round_robin.h"
#include "gg_request/zone_placement.h"

#endif  // GG_REQUEST_GG_REQUEST_H_
