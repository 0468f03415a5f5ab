#ifndef GG_CTL_LOG_LINE_H_
#define GG_CTL_LOG_LINE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace greengage {

/** One line that a daemon wrote to its log, taken apart. */
struct LogLine {
  std::string source;  // file, or what a log collector put before the line
  std::string time;    // as written; sorts in the order of time
  double seconds_of_day = 0;  // time of day, for distances; 0 to 86,400
  std::string event;          // "E601"
  std::string name;           // "request_failed"
  std::map<std::string, std::string> fields;
  std::string text;  // from the time on

  /** Returns a field, or "". */
  std::string field(const std::string& key) const;
};

/** Takes a line apart. What stands before the time, such as a host's name put
    there by a log collector, becomes part of the source.
    @param source  file that the line is from.
    @return nothing for a line that is torn or not a daemon's. */
std::optional<LogLine> ParseLogLine(std::string_view line,
                                    std::string_view source);

}  // namespace greengage

#endif  // GG_CTL_LOG_LINE_H_
