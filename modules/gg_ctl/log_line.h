#ifndef GG_CTL_LOG_LINE_H_
#define GG_CTL_LOG_LINE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace greengage {

/** Parsed log line of a daemon. */
struct LogLine {
  std::string source;         // host named by a log collector, or else the file
  std::string time;           // ISO 8601; sorts chronologically
  double seconds_of_day = 0;  // since midnight, for differences
  std::string event;          // "E601"
  std::string name;           // "request_failed"
  std::map<std::string, std::string> fields;
  std::string text;  // line without the collector's prefix

  /** Returns the value of the field `key`, or "". */
  std::string field(const std::string& key) const;
};

/** Parses a log line. If a log collector put text before the time, the last
    word of that text, the host, becomes the source.
    @param source  file that contains the line.
    @return nothing for a truncated line or a line of another program. */
std::optional<LogLine> ParseLogLine(std::string_view line,
                                    std::string_view source);

}  // namespace greengage

#endif  // GG_CTL_LOG_LINE_H_
