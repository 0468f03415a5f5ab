#ifndef GG_INSIGHT_GG_INSIGHT_H_
#define GG_INSIGHT_GG_INSIGHT_H_

/** @file
    gg_insight: logging and metrics.

    Purpose: numbered log events with Boost.Log and a limit on their rate, and
    counters, gauges and latency histograms with Boost.Histogram, exported in
    the Prometheus text format.
    Depends on: gg_core.
*/

#include "gg_insight/event_log.h"
#include "gg_insight/log_rate_limiter.h"
#include "gg_insight/metrics.h"

#endif  // GG_INSIGHT_GG_INSIGHT_H_
