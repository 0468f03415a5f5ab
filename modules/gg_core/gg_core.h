#ifndef GG_CORE_GG_CORE_H_
#define GG_CORE_GG_CORE_H_

/** @file
    gg_core: basic types shared by all modules.

    Purpose: time points, host identities, errors that carry a step and a peer,
    items of the key-value store, name tables for enums, the event catalogue,
    hashing, deterministic random numbers, and the system clock and random
    seeds.
    Depends on: no other module (Abseil and xxHash only).
*/

#include "gg_core/enum_names.h"
#include "gg_core/errors.h"
#include "gg_core/event.h"
#include "gg_core/hash.h"
#include "gg_core/host_id.h"
#include "gg_core/key_value.h"
#include "gg_core/random.h"
#include "gg_core/system_inputs.h"
#include "gg_core/tenant_load_report.h"
#include "gg_core/time.h"

#endif  // GG_CORE_GG_CORE_H_
