#include "gg_entry/request_run.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "gg_http/header_policy.h"
#include "gg_insight/event_log.h"
#include "gg_insight/metrics.h"
#include "gg_request/object_key.h"
#include "gg_request/return_policy.h"

namespace greengage {
namespace {

/** Time limit of a request when neither route nor caller sets one. */
constexpr Duration kDefaultTimeLimit = std::chrono::seconds(30);

/** Longest wait for a connection: the longest way and back (70 ms) with room
   for a slow target; a lost first packet is not waited for. */
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);

/** How long targets keep a connection when they do not say. */
constexpr Duration kDefaultIdleLimit = std::chrono::seconds(2);

TimePoint Now() { return std::chrono::steady_clock::now(); }

int64_t Ms(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

absl::string_view View(beast::string_view text) {
  return {text.data(), text.size()};
}

bool IsSuccess(http::status status) {
  return http::to_status_class(status) == http::status_class::successful;
}

/** True when a target's answer is a failure that another target might not have
    had. */
bool IsTargetFailure(http::status status) {
  return http::to_status_class(status) == http::status_class::server_error;
}

}  // namespace

RequestRun::RequestRun(EntryTraffic* traffic, HttpSessionPtr session,
                       SessionRequest request)
    : traffic_(traffic),
      session_(std::move(session)),
      request_(std::move(request)),
      due_timer_(*traffic->options().context) {}

Duration RequestRun::Left(TimePoint now) const { return due_at_ - now; }

Duration RequestRun::ReturnPause(TimePoint now) const {
  RefusalState state{.utilization = refused_utilization_,
                     .time_left = Left(now)};
  if (route_ != nullptr) state.usual_time = traffic_->UsualTime(route_->name);
  // The route's time ends this attempt only; the caller's own is what counts.
  if (caller_.time_left) {
    state.time_left = *caller_.time_left - (now - arrived_);
  }
  return ReturnAfter(state, traffic_->random().NextDouble());
}

std::string RequestRun::RowKey() const {
  return traffic_->board().row(row_).key;
}

bool RequestRun::FindRoute() {
  caller_ = traffic_->options().messages.decode_caller(request_);
  const FleetViewPtr& view = traffic_->view();
  if (view == nullptr || traffic_->routes() == nullptr) return false;
  table_ = traffic_->shared_routes();
  const auto host = request_[http::field::host];
  route_ = table_->Find(FromBeast(host), FromBeast(request_.target()));
  return true;
}

void RequestRun::Start(TimePoint now) {
  arrived_ = session_->request_began();
  due_at_ = now + kDefaultTimeLimit;
  if (!FindRoute()) {
    Refuse(http::status::service_unavailable, Event::kRequestRefused,
           "no_configuration_yet", now);
    return;
  }
  if (route_ == nullptr) {
    Refuse(http::status::not_found, Event::kRequestRefused, "no_route", now);
    return;
  }
  Duration limit = kDefaultTimeLimit;
  if (route_->time_limit > Duration::zero()) limit = route_->time_limit;
  if (caller_.time_left) limit = std::min(limit, *caller_.time_left);
  due_at_ = arrived_ + limit;
  state_.is_idempotent = route_->is_idempotent();
  state_.max_sends = route_->max_attempts;
  service_ = traffic_->ChooseService(*route_);
  traffic_->retries().NoteRequest(service_, now);
  session_->OnGone([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnCallerGone();
  });
  due_timer_.expires_at(due_at_);
  due_timer_.async_wait([self = shared_from_this()](const ErrorCode& error) {
    if (!error) self->OnDue();
  });
  TryNext(now);
}

void RequestRun::TryNext(TimePoint now) {
  const Pick pick = traffic_->picker().Choose({.route = route_,
                                               .service = service_,
                                               .object = caller_.object,
                                               .tried = tried_,
                                               .region = region_},
                                              now);
  if (!pick.row) {
    refused_utilization_ = pick.refused_utilization;
    const std::string reason(kNoTargetNames.Name(pick.reason));
    if (state_.may_have_run) {
      Refuse(http::status::bad_gateway, Event::kRequestFailed, reason, now);
    } else {
      Refuse(http::status::service_unavailable, Event::kRequestRefused, reason,
             now);
    }
    return;
  }
  region_ = pick.region;
  is_first_choice_ = pick.is_first_choice;
  BeginAttempt(pick, now);
}

void RequestRun::BeginAttempt(const Pick& pick, TimePoint now) {
  row_ = *pick.row;
  tried_.push_back(row_);
  attempt_began_ = now;
  const TargetRecord& target = traffic_->board().row(row_).target.record;
  const auto endpoint = ParseEndpoint(target.address);
  traffic_->board().Begin(row_);
  if (!endpoint) {
    ++state_.connect_failures;
    EndAttempt(AttemptEnd::kUnreachable, 0, now);
    OnFault(AttemptFault::kNotSent, "the target's address can't be read", now);
    return;
  }
  auto request =
      std::make_shared<TargetRequest>(request_.method(), request_.target(), 11);
  request->method_string(request_.method_string());
  CopyEndToEndFields(request_, request.get());
  const bool has_body_framing = request_.has_content_length() ||
                                request_.chunked() || !request_.body().empty();
  traffic_->options().messages.prepare_target_request(Left(now), target.id,
                                                      request.get());
  if (has_body_framing) {
    request->body() = request_.body();
    request->content_length(request_.body().size());
  }
  attempt_ = std::make_shared<TargetAttempt>(TargetAttempt::Options{
      .context = traffic_->options().context,
      .endpoint = *endpoint,
      .kept = traffic_->links().Take(RowKey(), now),
      .request = std::move(request),
      .connect_timeout = std::min<Duration>(kConnectTimeout, Left(now)),
      .on_done = [self = shared_from_this()](AttemptOutcome outcome) {
        self->OnOutcome(std::move(outcome));
      }});
  attempt_->Start();
}

void RequestRun::EndAttempt(AttemptEnd end, double relative_time,
                            TimePoint now) {
  const bool is_ejected = traffic_->board().End(row_, end, relative_time, now);
  traffic_->options().metrics->IncrementCounter(
      "greengage_attempts_total",
      absl::StrCat("end=\"", std::string(kAttemptEndNames.Name(end)), "\""));
  if (!is_ejected) return;
  const BoardRow& row = traffic_->board().row(row_);
  traffic_->links().Drop(row.key);
  LogEvent(LogLevel::kWarning, Event::kTargetEjected,
           absl::StrCat("target=", row.target.record.id,
                        " address=", row.target.record.address,
                        " failure_weight=", row.failure_weight,
                        " absent=", traffic_->board().IsAbsent(row, now),
                        " id=", caller_.request_id));
}

bool RequestRun::TakeAnswer(AttemptOutcome* outcome, TimePoint now,
                            std::string* fault, TargetFields* out) {
  const TargetAnswer& answer = *outcome->answer;
  const TargetFields fields =
      traffic_->options().messages.decode_answer(answer);
  if (fields.load) traffic_->board().NoteReport(row_, *fields.load, now);
  *out = fields;
  if (fields.was_not_run) {
    *fault = absl::StrCat("not run: status ", answer.result_int());
  } else if (fields.request_id != caller_.request_id) {
    *fault = "the answer is to another request";
    return false;  // the connection is out of step
  } else if (fields.is_encoded) {
    *fault = "the answer is encoded";
  } else if (IsSuccess(answer.result()) && !fields.is_signed) {
    *fault = "a success without signature";
  }
  if (outcome->reusable != nullptr) {
    traffic_->links().Put(RowKey(), std::move(outcome->reusable),
                          fields.idle_limit.value_or(kDefaultIdleLimit), now);
  }
  return fault->empty();
}

void RequestRun::OnOutcome(AttemptOutcome outcome) {
  const TimePoint now = Now();
  const std::shared_ptr<TargetAttempt> ended = std::move(attempt_);
  if (ended->is_sent()) {
    ++state_.sends;
  } else {
    ++state_.connect_failures;
  }
  if (!outcome.answer) {
    AttemptEnd end = AttemptEnd::kUnreachable;
    if (outcome.is_refused) end = AttemptEnd::kRefused;
    if (ended->is_sent()) end = AttemptEnd::kFailed;
    EndAttempt(end, 0, now);
    // The others to the same target may be as dead as this one.
    if (ended->is_on_kept_link()) traffic_->links().Drop(RowKey());
    OnFault(outcome.fault, outcome.reason, now);
    return;
  }
  std::string fault;
  TargetFields fields;
  if (!TakeAnswer(&outcome, now, &fault, &fields)) {
    AttemptEnd end = AttemptEnd::kFailed;
    if (fields.was_not_run) end = AttemptEnd::kShed;
    if (fields.is_elsewhere) end = AttemptEnd::kElsewhere;
    EndAttempt(end, 0, now);
    OnFault(
        fields.was_not_run ? AttemptFault::kNotRun : AttemptFault::kMayHaveRun,
        fault, now);
    return;
  }
  const bool is_failure = IsTargetFailure(outcome.answer->result());
  EndAttempt(is_failure ? AttemptEnd::kFailed : AttemptEnd::kAnswered,
             is_failure ? 0 : RelativeTime(now), now);
  if (is_over_) {  // the caller left; the answer only ended the work
    due_timer_.cancel();
    return;
  }
  if (is_failure && state_.is_idempotent) {
    AttemptState tried = state_;
    tried.time_left = Left(now);
    const NextStep next =
        DecideNextStep(AttemptFault::kMayHaveRun, &tried, [&] {
          return traffic_->retries().TryTake(
              service_, traffic_->view()->sender_count, now);
        });
    if (next == NextStep::kTryAgain) {
      state_ = tried;
      Log(LogLevel::kInfo, Event::kAttemptFailed,
          absl::StrCat("reason=\"status ", outcome.answer->result_int(),
                       "\" next=try_again"),
          now);
      TryNext(now);
      return;
    }
  }
  PassOn(*std::move(outcome.answer), now);
}

double RequestRun::RelativeTime(TimePoint now) {
  const uint64_t object = ObjectKey(*route_, caller_.object);
  if (object == 0) return 0;
  TargetBoard& board = traffic_->board();
  // Only work on a known object is comparable: the first is much slower.
  const bool is_known = board.KnowsObject(board.row(row_), object, now);
  board.NoteObject(row_, object, now);
  return is_known ? traffic_->RelativeTime(route_->name, now - attempt_began_)
                  : 0;
}

void RequestRun::OnFault(AttemptFault fault, const std::string& reason,
                         TimePoint now) {
  if (is_over_) {
    due_timer_.cancel();
    return;
  }
  state_.time_left = Left(now);
  const NextStep next = DecideNextStep(fault, &state_, [&] {
    return traffic_->retries().TryTake(service_, traffic_->view()->sender_count,
                                       now);
  });
  Log(LogLevel::kInfo, Event::kAttemptFailed,
      absl::StrCat("reason=\"", reason,
                   "\" next=", std::string(kNextStepNames.Name(next))),
      now);
  switch (next) {
    case NextStep::kTryAgain:
      TryNext(now);
      break;
    case NextStep::kAnswerNotRun:
      Refuse(http::status::service_unavailable, Event::kRequestRefused,
             "targets_did_not_run_it", now);
      break;
    case NextStep::kAnswerFailed:
      Refuse(http::status::bad_gateway, Event::kRequestFailed, "target_failed",
             now);
      break;
    case NextStep::kAnswerTimeout:
      Refuse(http::status::gateway_timeout, Event::kRequestFailed, "time_limit",
             now);
      break;
  }
}

void RequestRun::OnDue() {
  const TimePoint now = Now();
  const bool was_sent = attempt_ != nullptr && attempt_->is_sent();
  if (attempt_ != nullptr) {
    attempt_->Cancel();
    attempt_ = nullptr;
    EndAttempt(was_sent ? AttemptEnd::kTimedOut : AttemptEnd::kUnreachable, 0,
               now);
  }
  if (is_over_) return;  // the caller left; an order ran on without it
  if (was_sent || state_.may_have_run) {
    Refuse(http::status::gateway_timeout, Event::kRequestFailed, "time_limit",
           now);
  } else {
    Refuse(http::status::service_unavailable, Event::kRequestRefused,
           "time_limit_before_sending", now);
  }
}

void RequestRun::OnCallerGone() {
  if (is_over_) return;
  const TimePoint now = Now();
  is_over_ = true;
  // Work that can't be repeated is not broken off before its time limit.
  const bool runs_on =
      attempt_ != nullptr && attempt_->is_sent() && !state_.is_idempotent;
  Log(LogLevel::kInfo, Event::kCallerGone,
      absl::StrCat("sent=", attempt_ != nullptr && attempt_->is_sent() ? 1 : 0,
                   " runs_on=", runs_on ? 1 : 0),
      now);
  session_ = nullptr;
  if (runs_on) return;
  due_timer_.cancel();
  if (attempt_ == nullptr) return;
  attempt_->Cancel();
  attempt_ = nullptr;
  EndAttempt(AttemptEnd::kCancelled, 0, now);
}

void RequestRun::PassOn(TargetAnswer answer, TimePoint now) {
  is_over_ = true;
  due_timer_.cancel();
  SessionAnswer out(answer.result(), 11);
  out.result(answer.result_int());
  out.reason(answer.reason());
  CopyEndToEndFields(answer, &out);
  const auto length = answer[http::field::content_length];
  const bool is_head = request_.method() == http::verb::head;
  if (is_head) {
    if (!length.empty()) out.set(http::field::content_length, length);
  } else if (!IsBodyless(answer.result())) {
    out.body() = std::move(answer.body());
    out.content_length(out.body().size());
  }
  traffic_->options().metrics->IncrementCounter(
      "greengage_requests_total",
      absl::StrCat("result=\"", answer.result_int(), "\""));
  traffic_->options().metrics->RecordLatency(
      "greengage_request_seconds",
      absl::StrCat("kind=\"", std::string(kRequestKindNames.Name(route_->kind)),
                   "\""),
      now - arrived_);
  Log(LogLevel::kInfo, Event::kRequestAnswered,
      absl::StrCat("status=", answer.result_int(),
                   " attempt_ms=", Ms(now - attempt_began_)),
      now);
  session_->Answer(std::move(out), traffic_->is_closing());
}

void RequestRun::Refuse(http::status status, Event event,
                        const std::string& reason, TimePoint now) {
  is_over_ = true;
  due_timer_.cancel();
  SessionAnswer answer(status, 11);
  traffic_->options().messages.prepare_own_answer(caller_.request_id, &answer);
  std::string outcome =
      absl::StrCat("status=", static_cast<int>(status), " reason=", reason);
  if (status == http::status::service_unavailable) {
    const Duration pause = ReturnPause(now);
    answer.set(http::field::retry_after,
               absl::StrFormat("%.3f", ToSeconds(pause)));
    absl::StrAppend(&outcome, " utilization=", refused_utilization_,
                    " return_ms=", Ms(pause));
  }
  answer.set(http::field::content_type, "text/plain");
  answer.body() = reason + "\n";
  answer.prepare_payload();
  traffic_->options().metrics->IncrementCounter(
      "greengage_refusals_total", absl::StrCat("reason=\"", reason, "\""));
  Log(LogLevel::kInfo, event, outcome, now);
  session_->Answer(std::move(answer), traffic_->is_closing());
}

void RequestRun::Log(LogLevel level, Event event, const std::string& text,
                     TimePoint now) const {
  std::string line = absl::StrCat("id=", caller_.request_id, " ", text);
  if (route_ != nullptr) {
    absl::StrAppend(&line, " route=", route_->name, " service=", service_,
                    " config=", table_->config()->version,
                    " left_ms=", Ms(Left(now)));
  } else {
    absl::StrAppend(&line, " method=", View(request_.method_string()),
                    " path=", View(request_.target()));
  }
  if (!tried_.empty()) {
    const BoardRow& row = traffic_->board().row(row_);
    absl::StrAppend(
        &line, " object=", caller_.object, " target=", row.target.record.id,
        " zone=", row.target.record.zone,
        " first_choice=", is_first_choice_ ? 1 : 0, " sends=", state_.sends,
        " own_load=", row.own_in_flight, " peers_load=", row.peers_in_flight);
  }
  absl::StrAppend(&line, " view=",
                  traffic_->view() == nullptr ? 0 : traffic_->view()->sequence,
                  " ms=", Ms(now - arrived_));
  LogEvent(level, event, line);
}

}  // namespace greengage
