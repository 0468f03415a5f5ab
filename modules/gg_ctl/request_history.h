#ifndef GG_CTL_REQUEST_HISTORY_H_
#define GG_CTL_REQUEST_HISTORY_H_

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "gg_ctl/log_line.h"

namespace greengage {

/** Log lines of a fleet that concern one request. */
struct RequestHistory {
  /** Lines with the identifier of the request, in order of time. */
  std::vector<LogLine> own_lines;
  /** State of the daemon that handled the request: its newest lines before the
      end of the request about the configuration, the store, a stop, and the
      availability zones and targets to which the request was sent. */
  std::vector<LogLine> daemon_state;
  /** Ejections of the request's targets by any daemon, caused by other
      requests, within kTargetEventWindowSeconds of the end of the request. */
  std::vector<LogLine> target_events;
};

/** Ejections of a request's targets are included up to this time before and
    after the end of the request. Longer than the longest ejection, 8 s. */
inline constexpr double kTargetEventWindowSeconds = 10;

/** Finds the lines that concern a request.
    @param lines  log lines of all daemons, in any order.
    @return the history; kNotFound when no line has the identifier. The message
            then states the number and times of the lines searched, and how many
            lines the daemons dropped. */
absl::StatusOr<RequestHistory> FindRequest(std::vector<LogLine> lines,
                                           const std::string& id);

/** Formats a history as text for a terminal. */
std::string FormatRequestHistory(const RequestHistory& history);

}  // namespace greengage

#endif  // GG_CTL_REQUEST_HISTORY_H_
