#ifndef GG_CTL_REQUEST_HISTORY_H_
#define GG_CTL_REQUEST_HISTORY_H_

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "gg_ctl/log_line.h"

namespace greengage {

/** What the logs of a fleet tell of one request. */
struct RequestHistory {
  std::vector<LogLine> own_lines;  // its own lines
  /** What its daemon believed: the newest lines before its end on the
      configuration, the store, and the zones and targets it was sent to. */
  std::vector<LogLine> daemon_state;
  /** What all daemons noted of its targets within `kNearby` of its end. */
  std::vector<LogLine> target_events;
};

/** How far around a request's end other daemons' notes on its targets count:
    targets rest for up to 8 s. */
inline constexpr double kTargetEventWindowSeconds = 10;

/** Finds a request in the lines of a fleet.
    @param lines  in any order.
    @return kNotFound when no line bears the identifier; the message says what
            was looked through, and how many lines the daemons left out. */
absl::StatusOr<RequestHistory> FindRequest(std::vector<LogLine> lines,
                                           const std::string& id);

/** Returns the history as text for a terminal. */
std::string FormatRequestHistory(const RequestHistory& history);

}  // namespace greengage

#endif  // GG_CTL_REQUEST_HISTORY_H_
