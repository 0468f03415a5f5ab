#ifndef GG_INSIGHT_EVENT_LOG_H_
#define GG_INSIGHT_EVENT_LOG_H_

#include <string_view>

#include "absl/status/status.h"
#include "gg_core/event.h"

namespace greengage {

/** Sets up logging to standard error; call once at start.
    @param threshold  events below this level are dropped. */
void InitLogging(LogLevel threshold, std::string_view program);

/** Writes one event line: time, program, level, number, name and `text`. Any
    thread may call it. */
void LogEvent(LogLevel level, Event event, std::string_view text);

/** Writes one event line whose text is the message of `status`. */
void LogError(Event event, const absl::Status& status);

}  // namespace greengage

#endif  // GG_INSIGHT_EVENT_LOG_H_
