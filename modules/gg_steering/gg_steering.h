#ifndef GG_STEERING_GG_STEERING_H_
#define GG_STEERING_GG_STEERING_H_

/** @file
    gg_steering: the decision logic of the daemon, without I/O.

    Purpose: concurrency budgets of regions, link rates, slices, loans, traffic
    shifts, target selection, retries, orders, membership and look-ups. The
    module opens no sockets, starts no threads and reads no clock: events and
    the current time are passed in, and actions are passed out through
    ControllerHooks.
    Depends on: gg_core, gg_document. */

#include "gg_steering/block_table.h"
#include "gg_steering/budget_table.h"
#include "gg_steering/controller.h"
#include "gg_steering/lookup_policy.h"
#include "gg_steering/member_record.h"
#include "gg_steering/membership.h"
#include "gg_steering/order_key.h"
#include "gg_steering/order_ledger.h"
#include "gg_steering/overlay.h"
#include "gg_steering/peer_message.h"
#include "gg_steering/ramp_plan.h"
#include "gg_steering/rate_limiter.h"
#include "gg_steering/retry_budget.h"
#include "gg_steering/shift_limiter.h"
#include "gg_steering/slice_table.h"
#include "gg_steering/steering.h"
#include "gg_steering/target_table.h"

#endif  // GG_STEERING_GG_STEERING_H_
