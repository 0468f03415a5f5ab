#ifndef GG_CORE_RATE_LIMIT_REPORT_H_
#define GG_CORE_RATE_LIMIT_REPORT_H_

#include <optional>

#include "gg_core/time.h"

namespace greengage {

/** What a daemon tells the others about a target that limits its requests per
    second. */
struct RateLimitReport {
  /** Requests per second that the target takes from all daemons together;
      nullopt: its newest response named no limit. */
  std::optional<double> limit;
  Duration age{};  // of the response that stated it
  /** Requests per second that the daemon would send without the limit: most
      urgent ones, others, and those for which other targets have no room. */
  double urgent_demand = 0;
  double other_demand = 0;
  double passed_on_demand = 0;
  int recent_sends = 0;  // requests sent in the limiter's window
};

}  // namespace greengage

#endif  // GG_CORE_RATE_LIMIT_REPORT_H_
