#include "gg_ctl/log_line.h"

#include <regex>

#include "absl/strings/numbers.h"

namespace greengage {
namespace {

/** Matches time, program, level, event number, event name and fields. */
const std::regex& LinePattern() {
  static const std::regex kPattern(
      R"((\d{4}-\d\d-\d\dT(\d\d):(\d\d):(\d\d\.\d+)) \S+ \w+ (E\d+) (\w+)(.*))");
  return kPattern;
}

/** Matches `key=value` or `key="a value"`. */
const std::regex& FieldPattern() {
  static const std::regex kPattern(R"re((\w+)=("([^"]*)"|\S*))re");
  return kPattern;
}

double ParseNumber(const std::string& text) {
  double value = 0;
  // LinePattern() matches digits only, so parsing can't fail.
  return absl::SimpleAtod(text, &value) ? value : 0;
}

}  // namespace

std::string LogLine::field(const std::string& key) const {
  const auto found = fields.find(key);
  return found == fields.end() ? std::string() : found->second;
}

std::optional<LogLine> ParseLogLine(std::string_view line,
                                    std::string_view source) {
  std::cmatch match;
  if (!std::regex_search(line.data(), line.data() + line.size(), match,
                         LinePattern())) {
    return std::nullopt;
  }
  LogLine parsed;
  std::string prefix = match.prefix().str();
  while (!prefix.empty() && prefix.back() == ' ') prefix.pop_back();
  parsed.source = prefix.empty() ? std::string(source) : prefix;
  // A log collector may put its own timestamp before the host, so only the part
  // after the last space is the host.
  const size_t last_space = parsed.source.find_last_of(' ');
  if (!prefix.empty() && last_space != std::string::npos) {
    parsed.source = parsed.source.substr(last_space + 1);
  }
  parsed.time = match[1];
  parsed.seconds_of_day = ParseNumber(match[2]) * 3600 +
                          ParseNumber(match[3]) * 60 + ParseNumber(match[4]);
  parsed.event = match[5];
  parsed.name = match[6];
  parsed.text = match[0];
  const std::string rest = match[7];
  for (std::sregex_iterator it(rest.begin(), rest.end(), FieldPattern()), end;
       it != end; ++it) {
    parsed.fields[(*it)[1]] = (*it)[3].matched ? (*it)[3] : (*it)[2];
  }
  return parsed;
}

}  // namespace greengage
