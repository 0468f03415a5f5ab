#include "gg_entry/target_report_recorder.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"
#include "gg_entry/entry_traffic.h"
#include "gg_insight/event_log.h"
#include "gg_insight/metrics.h"

namespace greengage {
namespace {

int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

TargetReportRecorder::TargetReportRecorder(EntryTraffic* traffic, size_t row,
                                           std::string request_id)
    : traffic_(traffic), row_(row), request_id_(std::move(request_id)) {}

void TargetReportRecorder::RecordNotices(const TargetFields& fields,
                                         TimePoint now) const {
  const TargetStatus& row = traffic_->board().row(row_);
  const auto log = [&](LogLevel level, Event event, const std::string& text) {
    LogEvent(level, event,
             absl::StrCat("target=", row.target.record.id, text,
                          " id=", request_id_));
  };
  const auto count = [&](const char* notice) {
    traffic_->options().metrics->IncrementCounter(
        "greengage_target_notices_total",
        absl::StrCat("notice=\"", notice, "\""));
  };
  if (fields.is_leaving && traffic_->board().RecordLeaving(row_, now)) {
    traffic_->idle_connections().CloseAll(row.key);
    log(LogLevel::kInfo, Event::kTargetLeaving,
        absl::StrCat(" address=", row.target.record.address,
                     " incarnation=", row.target.record.incarnation_ms));
    count("leaving");
  }
  if (fields.pause && traffic_->board().RecordPause(row_, *fields.pause, now)) {
    log(LogLevel::kInfo, Event::kTargetPaused,
        absl::StrCat(" pause_ms=", Milliseconds(*fields.pause)));
    count("pause");
  }
  if (!fields.invalid_pause.empty()) {
    log(LogLevel::kWarning, Event::kTargetPauseInvalid,
        absl::StrCat(" value=\"", absl::CHexEscape(fields.invalid_pause),
                     "\""));
  }
}

void TargetReportRecorder::RecordLoad(const TargetLoad& load,
                                      TimePoint now) const {
  traffic_->board().RecordReportedLoad(row_, load, now);
  const bool is_over =
      load.requests() > traffic_->board().row(row_).target.record.slots;
  traffic_->options().metrics->IncrementCounter(
      "greengage_load_reports_total",
      absl::StrCat("over_slots=\"", is_over ? 1 : 0, "\""));
}

void TargetReportRecorder::RecordRateLimit(const TargetFields& fields,
                                           bool is_accepted,
                                           TimePoint now) const {
  // Another target has the address now; its answer tells nothing of this one.
  if (fields.is_misdirected) return;
  const TargetStatus& row = traffic_->board().row(row_);
  if (!fields.invalid_rate_limit.empty()) {
    LogEvent(LogLevel::kWarning, Event::kTargetRateLimitInvalid,
             absl::StrCat("target=", row.target.record.id, " value=\"",
                          absl::CHexEscape(fields.invalid_rate_limit), "\""));
    return;
  }
  if (!fields.rate_limit && !is_accepted) return;
  const auto previous = traffic_->rate_limiter().RecordResponse(
      row.key_hash, fields.rate_limit, now);
  if (previous == fields.rate_limit) return;
  LogEvent(LogLevel::kInfo,
           fields.rate_limit ? Event::kTargetRateLimited
                             : Event::kTargetRateLimitEnded,
           absl::StrCat("target=", row.target.record.id,
                        " limit=", fields.rate_limit.value_or(0),
                        " previous=", previous.value_or(0), " fleet_sends=",
                        traffic_->rate_limiter().FleetSends(row.key_hash, now),
                        " id=", request_id_));
}

void TargetReportRecorder::RecordOddMessage(const std::string& reason) const {
  const TargetRecord& target = traffic_->board().row(row_).target.record;
  LogEvent(LogLevel::kWarning, Event::kMessageRefused,
           absl::StrCat("side=target peer=", target.address, " step=",
                        std::string(kStepNames.Name(Step::kForwardReceive)),
                        " reason=\"", reason, "\" target=", target.id,
                        " id=", request_id_));
  traffic_->options().metrics->IncrementCounter("greengage_odd_messages_total",
                                                "side=\"target\"");
}

}  // namespace greengage
