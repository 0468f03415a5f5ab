#include "gg_ctl/log_line.h"
#include "gg_ctl/request_history.h"
#include "gg_insight/log_rate_limiter.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

TEST_GROUP(LogRateLimiter) {
  LogRateLimiter limiter;
  LogRateLimiter::DroppedCounts dropped;

  void setup() override {
    limiter.SetOptions(
        {.max_request_lines_per_second = 10, .max_other_lines_per_second = 5});
  }
  int CountAdmitted(Event event, int lines, double second) {
    int count = 0;
    for (int i = 0; i < lines; ++i) {
      LogRateLimiter::DroppedCounts now;
      count += limiter.Admit(event, TimePoint(FromSeconds(second)), &now);
      if (!now.empty()) dropped = now;
    }
    return count;
  }
};

// Lines about the state of the fleet must be logged even while lines about
// requests exceed their limit.
TEST(LogRateLimiter, RequestLinesOverLimit_DoNotDropOtherLines) {
  LONGS_EQUAL(10, CountAdmitted(Event::kRequestAnswered, 100, 1));
  LONGS_EQUAL(3, CountAdmitted(Event::kTargetUnlisted, 3, 1));
}

TEST(LogRateLimiter, DroppedLines_AreCountedByEvent) {
  CountAdmitted(Event::kRequestAnswered, 12, 1);
  CountAdmitted(Event::kAttemptFailed, 3, 1);
  limiter.CountDropped(Event::kLinesDropped);
  CountAdmitted(Event::kTargetListed, 1, 2);
  LONGS_EQUAL(3, dropped.size());
  LONGS_EQUAL(2, dropped[Event::kRequestAnswered]);
  LONGS_EQUAL(3, dropped[Event::kAttemptFailed]);
  LONGS_EQUAL(1, dropped[Event::kLinesDropped]);
}

TEST(LogRateLimiter, NextSecond_ResetsTheLimit) {
  CountAdmitted(Event::kRequestAnswered, 100, 1);
  LONGS_EQUAL(10, CountAdmitted(Event::kRequestAnswered, 100, 2));
}

constexpr char kFailed[] =
    "2026-04-03T13:04:12.371381 greengage_entry info E601 request_failed "
    "id=3d09 status=504 reason=time_limit target=i-1 zone=gaspe";

TEST_GROUP(LogLine){};

TEST(LogLine, LineOfADaemon_IsParsed) {
  const auto line = ParseLogLine(kFailed, "front-1.log");
  CHECK_TRUE(line.has_value());
  STRCMP_EQUAL("front-1.log", line->source.c_str());
  STRCMP_EQUAL("E601", line->event.c_str());
  STRCMP_EQUAL("time_limit", line->field("reason").c_str());
  DOUBLES_EQUAL(13 * 3600 + 4 * 60 + 12.371381, line->seconds_of_day, 1e-6);
}

TEST(LogLine, PrefixOfALogCollector_NamesTheHost) {
  const auto line = ParseLogLine(
      absl::StrCat("   5.9299 front-gaspe-1 ", kFailed), "all.log");
  STRCMP_EQUAL("front-gaspe-1", line->source.c_str());
}

TEST(LogLine, QuotedValue_KeepsItsSpaces) {
  const auto line = ParseLogLine(
      "2026-04-03T13:04:12.3 greengage_entry info E621 attempt_failed id=1 "
      "reason=\"connect: Connection refused\" next=try_again",
      "x");
  STRCMP_EQUAL("connect: Connection refused", line->field("reason").c_str());
  STRCMP_EQUAL("try_again", line->field("next").c_str());
}

TEST(LogLine, TruncatedAndForeignLines_AreRejected) {
  CHECK_FALSE(ParseLogLine("", "x").has_value());
  CHECK_FALSE(ParseLogLine("kernel: eth0 up", "x").has_value());
  CHECK_FALSE(
      ParseLogLine(std::string(kFailed).substr(0, 40), "x").has_value());
}

TEST_GROUP(RequestHistory) {
  std::vector<LogLine> lines;

  void Add(const std::string& source, const std::string& time,
           const std::string& text) {
    lines.push_back(*ParseLogLine(
        absl::StrCat("2026-04-03T13:04:", time, " greengage_entry info ", text),
        source));
  }
  void setup() override {
    Add("a", "12.4",
        "E601 request_failed id=3d09 status=504 target=i-1 "
        "zone=gaspe");
    Add("a", "10.0", "E210 config_in_force version=4");
    Add("a", "11.0", "E210 config_in_force version=5");
    Add("b", "12.0", "E210 config_in_force version=6");
    Add("a", "13.0", "E210 config_in_force version=7");
    Add("a", "09.0", "E320 target_listed target=i-1 zone=gaspe");
    Add("a", "09.5", "E320 target_listed target=i-2 zone=gaspe");
    Add("b", "14.0", "E610 target_ejected target=i-1 id=77");
    Add("b", "40.0", "E610 target_ejected target=i-1 id=78");
    Add("a", "11.5", "E621 attempt_failed id=3d09 target=i-2 zone=gaspe");
  }
};

TEST(RequestHistory, LinesOfTheRequest_AreSortedByTime) {
  const auto history = FindRequest(lines, "3d09");
  CHECK_TRUE(history.ok());
  LONGS_EQUAL(2, history->own_lines.size());
  STRCMP_EQUAL("E621", history->own_lines[0].event.c_str());
}

TEST(RequestHistory, FleetState_IsTheNewestOfItsDaemonBeforeTheRequestEnded) {
  const auto history = FindRequest(lines, "3d09");
  LONGS_EQUAL(3, history->daemon_state.size());
  STRCMP_EQUAL("5", history->daemon_state[0].field("version").c_str());
}

TEST(RequestHistory, LinesOfOtherDaemons_AreLimitedToNearbyTimes) {
  const auto history = FindRequest(lines, "3d09");
  LONGS_EQUAL(1, history->target_events.size());
  STRCMP_EQUAL("77", history->target_events[0].field("id").c_str());
}

TEST(RequestHistory, RefusalByBarredTargets_ShowsTheirNotices) {
  Add("a", "12.0", "E616 target_paused target=i-8 pause_ms=1500 id=66");
  Add("a", "12.1", "E615 target_leaving target=i-9 id=67");
  Add("b", "12.2", "E616 target_paused target=i-8 pause_ms=1500 id=68");
  Add("a", "12.9", "E616 target_paused target=i-8 pause_ms=900 id=69");
  Add("a", "12.6",
      "E600 request_refused id=4a status=503 reason=targets_paused "
      "barred=paused:1,leaving:1");
  const auto history = FindRequest(lines, "4a");
  LONGS_EQUAL(2, history->target_events.size());
  STRCMP_EQUAL("66", history->target_events[0].field("id").c_str());
  STRCMP_EQUAL("67", history->target_events[1].field("id").c_str());
}

TEST(RequestHistory, UnknownId_IsAnErrorThatReportsTheLinesRead) {
  Add("b", "41.0", "E690 lines_dropped lines=12 E620=12");
  const auto history = FindRequest(lines, "ffff");
  CHECK_TRUE(history.status().code() == absl::StatusCode::kNotFound);
  const std::string message(history.status().message());
  CHECK_TRUE(message.find("id=ffff among 11 lines") != std::string::npos);
  CHECK_TRUE(message.find("left out 12 lines") != std::string::npos);
}

}  // namespace
}  // namespace greengage
