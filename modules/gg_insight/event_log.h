#ifndef GG_INSIGHT_EVENT_LOG_H_
#define GG_INSIGHT_EVENT_LOG_H_

#include <cstdint>
#include <string_view>

#include "absl/status/status.h"
#include "gg_core/event.h"

namespace greengage {

/** Sets up logging to standard error. Call once at start.
    @param threshold  events below this level are not logged.
    @param program    name of the program, part of every line. */
void InitLogging(LogLevel threshold, std::string_view program);

/** Sets up logging to standard output through a bounded queue, so that no
    caller blocks on a slow reader. Call once at start.

    Lines above the limits of LogRateLimiter and lines that find the queue full
    are dropped, counted and reported in a lines_dropped event.
    @param lines_per_second  limit for lines about single requests; 0: no line
                             is dropped by rate. */
void InitBoundedLogging(LogLevel threshold, std::string_view program,
                        uint64_t lines_per_second);

/** Writes all queued lines and stops the logging thread. */
void StopBoundedLogging();

/** Logs one event as a line of time, program, level, number, name and `text`.
    Any thread may call it. */
void LogEvent(LogLevel level, Event event, std::string_view text);

/** Logs an event at warning level with the message of `status` as its text. Any
    thread may call it. */
void LogError(Event event, const absl::Status& status);

}  // namespace greengage

#endif  // GG_INSIGHT_EVENT_LOG_H_
