#include "gg_ctl/request_history.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "gg_core/event.h"

namespace greengage {
namespace {

bool Is(const LogLine& line, Event event) {
  return line.event == absl::StrCat("E", static_cast<int>(event));
}

/** Returns what a line of belief is about: only the newest line of each kind
    and subject before a request's end matters. Empty: not a belief. */
std::string BeliefSubject(const LogLine& line,
                          const std::set<std::string>& targets,
                          const std::set<std::string>& zones) {
  if (Is(line, Event::kConfigInForce)) return "configuration";
  if (Is(line, Event::kStoreAvailable) || Is(line, Event::kStoreUnavailable)) {
    return "store";
  }
  if (Is(line, Event::kStopRequested)) return "stop";
  if (Is(line, Event::kZoneEvacuated) || Is(line, Event::kZoneReturned)) {
    const std::string zone = line.field("zone");
    return zones.count(zone) == 0 ? "" : absl::StrCat("zone ", zone);
  }
  const bool is_of_target = Is(line, Event::kTargetListed) ||
                            Is(line, Event::kTargetDraining) ||
                            Is(line, Event::kTargetUnlisted);
  const std::string target = line.field("target");
  if (!is_of_target || targets.count(target) == 0) return "";
  return absl::StrCat("target ", target);
}

void Append(std::string* text, const std::string& title,
            const std::vector<LogLine>& lines) {
  absl::StrAppend(text, title, "\n");
  for (const LogLine& line : lines) {
    absl::StrAppend(text, "  ", line.source, "  ", line.text, "\n");
  }
  if (lines.empty()) absl::StrAppend(text, "  none\n");
}

std::string NotFoundMessage(const std::vector<LogLine>& lines,
                            const std::string& id) {
  std::string message =
      absl::StrCat("no line has id=", id, " among ", lines.size(), " lines");
  if (lines.empty()) return message;
  absl::StrAppend(&message, " from ", lines.front().time, " to ",
                  lines.back().time);
  int64_t dropped = 0;
  for (const LogLine& line : lines) {
    int64_t count = 0;
    const bool tells = Is(line, Event::kLinesDropped) &&
                       absl::SimpleAtoi(line.field("lines"), &count);
    if (tells) dropped += count;
  }
  if (dropped > 0) {
    absl::StrAppend(&message, "; the daemons left out ", dropped, " lines");
  }
  return message;
}

}  // namespace

absl::StatusOr<RequestHistory> FindRequest(std::vector<LogLine> lines,
                                           const std::string& id) {
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  RequestHistory history;
  std::set<std::string> targets;
  std::set<std::string> zones;
  for (const LogLine& line : lines) {
    if (line.field("id") != id) continue;
    history.way.push_back(line);
    if (!line.field("target").empty()) targets.insert(line.field("target"));
    if (!line.field("zone").empty()) zones.insert(line.field("zone"));
  }
  if (history.way.empty()) {
    return absl::NotFoundError(NotFoundMessage(lines, id));
  }
  const LogLine& last = history.way.back();
  std::map<std::string, LogLine> newest;
  for (const LogLine& line : lines) {
    const std::string subject = BeliefSubject(line, targets, zones);
    if (!subject.empty() && line.source == last.source &&
        line.time <= last.time) {
      newest[subject] = line;
    }
    const bool is_nearby =
        Is(line, Event::kTargetEjected) && line.field("id") != id &&
        targets.count(line.field("target")) != 0 &&
        std::abs(line.seconds - last.seconds) <= kNearbySeconds;
    if (is_nearby) history.nearby.push_back(line);
  }
  for (auto& [subject, line] : newest) history.beliefs.push_back(line);
  return history;
}

std::string Describe(const RequestHistory& history) {
  std::string text;
  Append(&text, "The request's way:", history.way);
  Append(&text, "What its daemon believed:", history.beliefs);
  Append(&text, "What daemons noted of its targets then:", history.nearby);
  return text;
}

}  // namespace greengage
