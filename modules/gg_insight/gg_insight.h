#ifndef GG_INSIGHT_GG_INSIGHT_H_
#define GG_INSIGHT_GG_INSIGHT_H_

/** @file
    gg_insight: what the system tells its operators about itself.

    Purpose: numbered log events over Boost.Log, and counters and latency
    histograms over Boost.Histogram, written as Prometheus text.
    Depends on: gg_core.
*/

#include "gg_insight/event_log.h"
#include "gg_insight/log_rate_limiter.h"
#include "gg_insight/metrics.h"

#endif  // GG_INSIGHT_GG_INSIGHT_H_
