#ifndef GG_INSIGHT_EVENT_LOG_H_
#define GG_INSIGHT_EVENT_LOG_H_

#include <cstdint>
#include <string_view>

#include "absl/status/status.h"
#include "gg_core/event.h"

namespace greengage {

/** Sets up logging to standard error; call once at start.
    @param threshold  events below this level are dropped. */
void InitLogging(LogLevel threshold, std::string_view program);

/** Sets up logging to standard output without ever waiting for its reader; call
    once at start. Lines beyond `lines_per_second` are left out and counted in
   an event of their own, as are lines that a slow reader leaves no room for. */
void InitBoundedLogging(LogLevel threshold, std::string_view program,
                        uint64_t lines_per_second);

/** Writes out what is queued and ends the logging thread. */
void StopBoundedLogging();

/** Writes one event line: time, program, level, number, name and `text`. Any
    thread may call it. */
void LogEvent(LogLevel level, Event event, std::string_view text);

/** Writes one event line whose text is the message of `status`. */
void LogError(Event event, const absl::Status& status);

}  // namespace greengage

#endif  // GG_INSIGHT_EVENT_LOG_H_
