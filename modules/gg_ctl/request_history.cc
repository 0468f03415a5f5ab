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

bool IsEvent(const LogLine& line, Event event) {
  return line.event == absl::StrCat("E", static_cast<int>(event));
}

/** Returns what part of a daemon's state a line is about, or "" when it is
    about none. For each subject, only the newest line before the end of a
    request is kept. */
std::string StateSubject(const LogLine& line,
                         const std::set<std::string>& targets,
                         const std::set<std::string>& zones) {
  if (IsEvent(line, Event::kConfigInForce)) return "configuration";
  if (IsEvent(line, Event::kStoreAvailable) ||
      IsEvent(line, Event::kStoreUnavailable)) {
    return "store";
  }
  if (IsEvent(line, Event::kStopRequested)) return "stop";
  if (IsEvent(line, Event::kZoneEvacuated) ||
      IsEvent(line, Event::kZoneReturned)) {
    const std::string zone = line.field("zone");
    return zones.count(zone) == 0 ? "" : absl::StrCat("zone ", zone);
  }
  const std::string target = line.field("target");
  if (targets.count(target) == 0) return "";
  if (IsEvent(line, Event::kTargetLeaving) ||
      IsEvent(line, Event::kTargetPaused)) {
    return absl::StrCat("notice ", line.event, " of target ", target);
  }
  const bool is_entry_event = IsEvent(line, Event::kTargetListed) ||
                              IsEvent(line, Event::kTargetDraining) ||
                              IsEvent(line, Event::kTargetUnlisted);
  return is_entry_event ? absl::StrCat("target ", target) : "";
}

/** Returns whether `line` tells why a daemon found no target that it may use:
    targets of its service are barred by their own notices. */
bool IsNoticeBehindRefusal(const LogLine& line, const LogLine& refusal) {
  const bool is_notice = IsEvent(line, Event::kTargetLeaving) ||
                         IsEvent(line, Event::kTargetPaused);
  return is_notice && !refusal.field("barred").empty() &&
         line.source == refusal.source && line.time <= refusal.time;
}

void AppendLines(std::string* text, const std::string& title,
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
    const bool has_count = IsEvent(line, Event::kLinesDropped) &&
                           absl::SimpleAtoi(line.field("lines"), &count);
    if (has_count) dropped += count;
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
    history.own_lines.push_back(line);
    if (!line.field("target").empty()) targets.insert(line.field("target"));
    if (!line.field("zone").empty()) zones.insert(line.field("zone"));
  }
  if (history.own_lines.empty()) {
    return absl::NotFoundError(NotFoundMessage(lines, id));
  }
  const LogLine& last_line = history.own_lines.back();
  std::map<std::string, LogLine> newest_by_subject;
  for (const LogLine& line : lines) {
    const std::string subject = StateSubject(line, targets, zones);
    if (!subject.empty() && line.source == last_line.source &&
        line.time <= last_line.time) {
      newest_by_subject[subject] = line;
    }
    const bool is_within_window =
        std::abs(line.seconds_of_day - last_line.seconds_of_day) <=
        kTargetEventWindowSeconds;
    const bool is_event_of_targets = IsEvent(line, Event::kTargetEjected) &&
                                     line.field("id") != id &&
                                     targets.count(line.field("target")) != 0;
    if (is_within_window &&
        (is_event_of_targets || IsNoticeBehindRefusal(line, last_line))) {
      history.target_events.push_back(line);
    }
  }
  for (auto& [subject, line] : newest_by_subject) {
    history.daemon_state.push_back(line);
  }
  return history;
}

std::string FormatRequestHistory(const RequestHistory& history) {
  std::string text;
  AppendLines(&text, "The request's way:", history.own_lines);
  AppendLines(&text, "What its daemon believed:", history.daemon_state);
  AppendLines(&text,
              "What daemons noted of its targets then:", history.target_events);
  return text;
}

}  // namespace greengage
