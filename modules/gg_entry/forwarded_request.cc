#include "gg_entry/forwarded_request.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "gg_entry/target_report_recorder.h"
#include "gg_http/header_policy.h"
#include "gg_insight/event_log.h"
#include "gg_insight/metrics.h"
#include "gg_request/object_key.h"
#include "gg_request/retry_delay.h"
#include "gg_request/stop_admission.h"

namespace greengage {
namespace {

/** Time limit of a request when neither route nor caller sets one. */
constexpr Duration kDefaultTimeLimit = std::chrono::seconds(30);

/** Time limit for connecting to a target. The longest round trip takes 70 ms;
    the rest is for a slow target. A lost SYN is not sent again within it. */
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);

/** How long a target is assumed to keep an idle connection open when its
    response does not say. */
constexpr Duration kDefaultKeepAliveTimeout = std::chrono::seconds(2);

TimePoint Now() { return std::chrono::steady_clock::now(); }

int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

absl::string_view ToStringView(beast::string_view text) {
  return {text.data(), text.size()};
}

/** Returns the barriers and their numbers of targets, such as
    "leaving:1,paused:3". */
std::string BarredTargetsText(const Pick& pick) {
  std::string text;
  for (size_t i = 0; i < kSendBarrierCount; ++i) {
    const auto barrier = static_cast<SendBarrier>(i);
    if (barrier == SendBarrier::kNone || pick.barred_targets[i] == 0) continue;
    absl::StrAppend(&text, text.empty() ? "" : ",",
                    std::string(kSendBarrierNames.Name(barrier)), ":",
                    pick.barred_targets[i]);
  }
  return text;
}

/** Returns true for a failure of the target, which another target might not
    have. */
bool IsTargetFailure(http::status status) {
  return http::to_status_class(status) == http::status_class::server_error;
}

}  // namespace

ForwardedRequest::ForwardedRequest(EntryTraffic* traffic,
                                   HttpSessionPtr session,
                                   SessionRequest request)
    : traffic_(traffic),
      requests_(traffic->requests()),
      session_(std::move(session)),
      request_(std::move(request)),
      deadline_timer_(*traffic->options().context) {
  requests_->insert(this);
}

ForwardedRequest::~ForwardedRequest() { requests_->erase(this); }

Duration ForwardedRequest::TimeLeft(TimePoint now) const {
  return deadline_ - now;
}

Duration ForwardedRequest::RetryAfterPause(TimePoint now) const {
  RefusalState state{.utilization = pick_.refused_utilization,
                     .demand_ratio = pick_.admission.demand_ratio,
                     .admission_delay = pick_.admission_delay,
                     .time_left = TimeLeft(now),
                     .is_served_elsewhere = is_served_elsewhere_};
  if (route_ != nullptr) {
    state.usual_response_time = traffic_->TypicalResponseTime(route_->name);
  }
  // The route's time limit applies to this request only. A caller that comes
  // back is bound by its own time limit.
  if (caller_fields_.time_left) {
    state.time_left = *caller_fields_.time_left - (now - arrived_at_);
  }
  return RetryDelay(state, traffic_->random().NextDouble());
}

std::string ForwardedRequest::TargetKey() const {
  return traffic_->board().row(target_row_).key;
}

bool ForwardedRequest::FindRoute() {
  caller_fields_ =
      traffic_->options().message_codec.decode_caller_fields(request_);
  const FleetViewPtr& view = traffic_->view();
  if (view == nullptr || traffic_->routes() == nullptr) return false;
  route_table_ = traffic_->shared_routes();
  const auto host = request_[http::field::host];
  route_ = route_table_->Find(FromBeast(host), FromBeast(request_.target()));
  tenants_ = traffic_->shared_tenants();
  if (route_ != nullptr) {
    caller_ = IdentifyCaller(*tenants_, *route_, caller_fields_.api_key);
  }
  caller_fields_.api_key.clear();
  return true;
}

void ForwardedRequest::Start(TimePoint now) {
  arrived_at_ = session_->request_began_at();
  deadline_ = now + kDefaultTimeLimit;
  if (!FindRoute()) {
    RespondWithError(http::status::service_unavailable, Event::kRequestRefused,
                     "no_configuration_yet", now);
    return;
  }
  if (route_ == nullptr) {
    RespondWithError(http::status::not_found, Event::kRequestRefused,
                     "no_route", now);
    return;
  }
  if (const auto refusal = traffic_->tenant_gate().Check(caller_, now)) {
    retry_after_ = refusal->retry_after;
    RespondWithError(
        http::int_to_status(refusal->status), Event::kRequestRefused,
        std::string(kTenantRefusalNames.Name(refusal->reason)), now);
    return;
  }
  Duration limit = kDefaultTimeLimit;
  if (route_->time_limit > Duration::zero()) limit = route_->time_limit;
  if (caller_fields_.time_left) {
    limit = std::min(limit, *caller_fields_.time_left);
  }
  deadline_ = arrived_at_ + limit;
  state_.is_idempotent = route_->is_idempotent();
  state_.max_sends = route_->max_attempts;
  service_ = traffic_->ChooseService(*route_);
  traffic_->retry_budget().RecordRequest(service_, now);
  session_->SetCallerGoneHook([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnCallerGone();
  });
  deadline_timer_.expires_at(deadline_);
  deadline_timer_.async_wait(
      [self = shared_from_this()](const ErrorCode& error) {
        if (!error) self->OnDeadline();
      });
  StartNextAttempt(now);
}

bool ForwardedRequest::MayOutlastProcess(TimePoint now) const {
  const std::optional<StopPlan>& stop = traffic_->stop_plan();
  if (!stop) return false;
  return !MayTakeWhileStopping(
      {.since_stop = now - stop->began_at,
       .until_exit = stop->exits_at - now,
       .time_limit = TimeLeft(now),
       .slowest_response = traffic_->slowest_response(route_->name).Value(now)},
      stop->settles_at - stop->began_at);
}

void ForwardedRequest::RefuseWhileStopping(TimePoint now) {
  is_served_elsewhere_ = traffic_->view()->sender_count > 1;
  RespondWithError(http::status::service_unavailable, Event::kRequestRefused,
                   "stopping", now);
}

void ForwardedRequest::StartNextAttempt(TimePoint now) {
  if (EndIfCallerGone()) return;
  if (TimeLeft(now) <= Duration::zero()) {
    OnDeadline();
    return;
  }
  if (!state_.may_have_run && MayOutlastProcess(now)) {
    RefuseWhileStopping(now);
    return;
  }
  pick_ = traffic_->ChooseTarget(DescribeForPicker(now), now);
  if (!pick_.row) {
    const bool failed = state_.may_have_run;
    RespondWithError(
        failed ? http::status::bad_gateway : http::status::service_unavailable,
        failed ? Event::kRequestFailed : Event::kRequestRefused,
        std::string(pick_.reason_name()), now);
    return;
  }
  chosen_region_ = pick_.region;
  rate_limited_targets_ += pick_.rate_limited_targets;
  StartAttempt(now);
}

PickRequest ForwardedRequest::DescribeForPicker(TimePoint now) const {
  return {.route = route_,
          .home_regions = caller_.home_regions,
          .tenant = caller_.tenant,
          .service = service_,
          .object = caller_fields_.object,
          .tried = tried_rows_,
          .region = chosen_region_,
          .time_used = now - arrived_at_,
          .time_left = TimeLeft(now)};
}

void ForwardedRequest::StartAttempt(TimePoint now) {
  target_row_ = *pick_.row;
  tried_rows_.push_back(target_row_);
  attempt_began_at_ = now;
  const TargetRecord& target = traffic_->board().row(target_row_).target.record;
  const auto endpoint = ParseEndpoint(target.address);
  traffic_->board().RecordAttemptStart(target_row_);
  if (!endpoint) {
    ++state_.connect_failures;
    EndAttempt(AttemptEnd::kUnreachable, 0, now);
    OnFault(AttemptFault::kNotSent, "the target's address can't be read", now);
    return;
  }
  const auto attempt = std::make_shared<TargetAttempt>(TargetAttempt::Options{
      .context = traffic_->options().context,
      .endpoint = *endpoint,
      .pooled_connection = traffic_->idle_connections().Take(TargetKey(), now),
      .make_request =
          [self = shared_from_this()] { return self->MakeTargetRequest(); },
      .connect_timeout = std::min<Duration>(kConnectTimeout, TimeLeft(now)),
      .memory = traffic_->options().memory,
      .on_done =
          [self = shared_from_this()](AttemptOutcome outcome) {
            self->OnOutcome(std::move(outcome));
          }});
  attempt_ = attempt;
  attempt->Start();
}

std::shared_ptr<const TargetRequest> ForwardedRequest::MakeTargetRequest() {
  const bool was_checked_just_now = attempt_->uses_pooled_connection();
  if (!was_checked_just_now && EndIfCallerGone()) return nullptr;
  if (TimeLeft(Now()) <= Duration::zero()) {
    OnDeadline();
    return nullptr;
  }
  // The target may have said something, or left, while the connection was
  // opened. This request's own share of a cold target's rate is used up.
  const SendBarrier barrier =
      traffic_->picker().PermissionToSend(target_row_, Now()).barrier;
  if (barrier != SendBarrier::kNone && barrier != SendBarrier::kColdShare &&
      barrier != SendBarrier::kAbsent) {
    OnTargetBarred(barrier, Now());
    return nullptr;
  }
  auto request =
      std::make_shared<TargetRequest>(request_.method(), request_.target(), 11);
  request->method_string(request_.method_string());
  CopyEndToEndFields(request_, request.get());
  const bool has_body_framing = request_.has_content_length() ||
                                request_.chunked() || !request_.body().empty();
  if (tenants_->requires_keys()) {
    traffic_->options().message_codec.replace_credentials(
        caller_.tenant == nullptr ? "" : caller_.tenant->name, request.get());
  }
  const TargetRecord& target = traffic_->board().row(target_row_).target.record;
  traffic_->options().message_codec.prepare_target_request(
      TimeLeft(Now()), target.id, request.get());
  if (has_body_framing) {
    request->body() = request_.body();
    request->content_length(request_.body().size());
  }
  return request;
}

void ForwardedRequest::EndAttempt(AttemptEnd end, double relative_time,
                                  TimePoint now) {
  const bool is_ejected =
      traffic_->board().RecordAttemptEnd(target_row_, end, relative_time, now);
  traffic_->options().metrics->IncrementCounter(
      "greengage_attempts_total",
      absl::StrCat("end=\"", std::string(kAttemptEndNames.Name(end)), "\""));
  if (!is_ejected) return;
  const TargetStatus& row = traffic_->board().row(target_row_);
  traffic_->idle_connections().CloseAll(row.key);
  LogEvent(LogLevel::kWarning, Event::kTargetEjected,
           absl::StrCat("target=", row.target.record.id,
                        " address=", row.target.record.address,
                        " failure_weight=", row.failure_weight,
                        " absent=", traffic_->board().IsAbsent(row, now),
                        " id=", caller_fields_.request_id));
}

TargetReportRecorder ForwardedRequest::ReportRecorder() const {
  return {traffic_, target_row_, caller_fields_.request_id};
}

ResponseVerdict ForwardedRequest::AcceptResponse(AttemptOutcome* outcome,
                                                 TimePoint now) {
  const TargetResponse& response = *outcome->response;
  const TargetFields fields =
      traffic_->options().message_codec.decode_target_fields(response);
  ResponseVerdict verdict =
      CheckResponse(fields, response.result_int(),
                    {.request_id = caller_fields_.request_id,
                     .is_idempotent = state_.is_idempotent,
                     .is_reused_connection = outcome->used_pooled_connection});
  // Responses are out of order: the connection is not reused.
  if (verdict.kind == ResponseKind::kStray) return verdict;
  const TargetReportRecorder recorder = ReportRecorder();
  if (!fields.is_misdirected) recorder.RecordNotices(fields, now);
  if (fields.load) {
    recorder.RecordLoad(*fields.load, now);
  }
  recorder.RecordRateLimit(fields, verdict.kind == ResponseKind::kAnswer, now);
  if (outcome->reusable_connection != nullptr) {
    traffic_->idle_connections().Put(
        TargetKey(), std::move(outcome->reusable_connection),
        fields.keep_alive_timeout.value_or(kDefaultKeepAliveTimeout), now);
  }
  return verdict;
}

void ForwardedRequest::OnRejectedResponse(const ResponseVerdict& verdict,
                                          http::status status, TimePoint now) {
  const bool was_not_run = verdict.kind == ResponseKind::kRefusal;
  AttemptEnd end = AttemptEnd::kFailed;
  if (was_not_run) end = AttemptEnd::kShed;
  if (was_not_run && status == http::status::misdirected_request) {
    end = AttemptEnd::kWrongTarget;
  }
  EndAttempt(end, 0, now);
  OnFault(was_not_run ? AttemptFault::kNotRun : AttemptFault::kMayHaveRun,
          verdict.reason, now);
}

void ForwardedRequest::OnOutcome(AttemptOutcome outcome) {
  const TimePoint now = Now();
  const std::shared_ptr<TargetAttempt> ended = std::move(attempt_);
  if (ended->is_sent()) {
    ++state_.sends;
  } else {
    ++state_.connect_failures;
  }
  if (!outcome.response) {
    AttemptEnd end = AttemptEnd::kUnreachable;
    if (outcome.is_connection_refused) end = AttemptEnd::kRefused;
    if (ended->is_sent()) end = AttemptEnd::kFailed;
    if (outcome.is_odd_message) {
      ReportRecorder().RecordOddMessage(outcome.reason);
    }
    EndAttempt(end, 0, now);
    // The other idle connections to this target may be broken as well.
    if (ended->uses_pooled_connection()) {
      traffic_->idle_connections().CloseAll(TargetKey());
    }
    OnFault(outcome.fault, outcome.reason, now);
    return;
  }
  const ResponseVerdict verdict = AcceptResponse(&outcome, now);
  if (verdict.kind != ResponseKind::kAnswer) {
    OnRejectedResponse(verdict, outcome.response->result(), now);
    return;
  }
  traffic_->slowest_response(route_->name).Record(now - attempt_began_at_, now);
  const bool is_failure = IsTargetFailure(outcome.response->result());
  EndAttempt(is_failure ? AttemptEnd::kFailed : AttemptEnd::kAnswered,
             is_failure ? 0 : RecordResponseTime(now), now);
  if (is_finished_) {  // the caller disconnected while the request ran on
    deadline_timer_.cancel();
    return;
  }
  if (is_failure && state_.is_idempotent) {
    AttemptState tried = state_;
    tried.time_left = TimeLeft(now);
    const NextStep next =
        DecideNextStep(AttemptFault::kMayHaveRun, &tried, [&] {
          return traffic_->retry_budget().TryTake(
              service_, traffic_->view()->sender_count, now);
        });
    if (next == NextStep::kTryAgain) {
      state_ = tried;
      Log(LogLevel::kInfo, Event::kAttemptFailed,
          absl::StrCat("reason=\"status ", outcome.response->result_int(),
                       "\" next=try_again"),
          now);
      StartNextAttempt(now);
      return;
    }
  }
  ForwardResponse(*std::move(outcome.response), now);
}

double ForwardedRequest::RecordResponseTime(TimePoint now) {
  traffic_->picker().RecordOutcome(DescribeForPicker(now), pick_,
                                   now - attempt_began_at_, now);
  const uint64_t object = ObjectKey(*route_, caller_fields_.object);
  if (object == 0) return 0;
  TargetStatusTable& board = traffic_->board();
  // The first request for an object takes much longer at a target, so only
  // requests for objects that it has handled lately are comparable.
  const bool is_known =
      board.HasHandledObject(board.row(target_row_), object, now);
  board.RecordObject(target_row_, object, now);
  if (is_known) {
    traffic_->picker().RecordResponseTime(service_, now - attempt_began_at_);
  }
  return is_known ? traffic_->RecordResponseTime(route_->name,
                                                 now - attempt_began_at_)
                  : 0;
}

void ForwardedRequest::OnFault(AttemptFault fault, const std::string& reason,
                               TimePoint now) {
  if (is_finished_) {
    deadline_timer_.cancel();
    return;
  }
  state_.time_left = TimeLeft(now);
  const NextStep next = DecideNextStep(fault, &state_, [&] {
    return traffic_->retry_budget().TryTake(
        service_, traffic_->view()->sender_count, now);
  });
  Log(LogLevel::kInfo, Event::kAttemptFailed,
      absl::StrCat("reason=\"", reason,
                   "\" next=", std::string(kNextStepNames.Name(next))),
      now);
  switch (next) {
    case NextStep::kTryAgain:
      StartNextAttempt(now);
      break;
    case NextStep::kAnswerNotRun:
      RespondWithError(http::status::service_unavailable,
                       Event::kRequestRefused, "targets_did_not_run_it", now);
      break;
    case NextStep::kAnswerFailed:
      RespondWithError(http::status::bad_gateway, Event::kRequestFailed,
                       "target_failed", now);
      break;
    case NextStep::kAnswerTimeout:
      RespondWithError(http::status::gateway_timeout, Event::kRequestFailed,
                       "time_limit", now);
      break;
  }
}

void ForwardedRequest::OnTargetBarred(SendBarrier barrier, TimePoint now) {
  attempt_ = nullptr;
  EndAttempt(AttemptEnd::kCancelled, 0, now);
  OnFault(AttemptFault::kNotSent,
          absl::StrCat("the target is barred: ",
                       std::string(kSendBarrierNames.Name(barrier))),
          now);
}

void ForwardedRequest::OnDeadline() {
  const TimePoint now = Now();
  const bool was_sent = attempt_ != nullptr && attempt_->is_sent();
  if (attempt_ != nullptr) {
    attempt_->Cancel();
    attempt_ = nullptr;
    EndAttempt(was_sent ? AttemptEnd::kTimedOut : AttemptEnd::kUnreachable, 0,
               now);
  }
  if (is_finished_) return;  // the caller disconnected while the request ran on
  if (was_sent || state_.may_have_run) {
    RespondWithError(http::status::gateway_timeout, Event::kRequestFailed,
                     "time_limit", now);
  } else {
    RespondWithError(http::status::service_unavailable, Event::kRequestRefused,
                     "time_limit_before_sending", now);
  }
}

void ForwardedRequest::OnCallerGone() {
  if (is_finished_) return;
  const TimePoint now = Now();
  is_finished_ = true;
  // A request that can't be repeated is not cancelled before its time limit.
  const bool is_running = attempt_ != nullptr && attempt_->is_sent();
  const bool keeps_running = is_running && !state_.is_idempotent;
  Log(LogLevel::kInfo, Event::kCallerGone,
      absl::StrCat("sent=", is_running ? 1 : 0,
                   " runs_on=", keeps_running ? 1 : 0),
      now);
  traffic_->options().metrics->IncrementCounter(
      "greengage_callers_gone_total",
      absl::StrCat("sent=\"", is_running ? 1 : 0, "\""));
  session_ = nullptr;
  if (keeps_running) return;
  deadline_timer_.cancel();
  if (attempt_ == nullptr) return;
  attempt_->Cancel();
  attempt_ = nullptr;
  EndAttempt(AttemptEnd::kCancelled, 0, now);
}

bool ForwardedRequest::EndIfCallerGone() {
  if (!session_->HasCallerDisconnected()) return false;
  const HttpSessionPtr session = session_;
  OnCallerGone();
  session->Abort();
  return true;
}

void ForwardedRequest::ForwardResponse(TargetResponse response, TimePoint now) {
  is_finished_ = true;
  deadline_timer_.cancel();
  SessionResponse out(response.result(), 11);
  out.result(response.result_int());
  out.reason(response.reason());
  CopyEndToEndFields(response, &out);
  const auto length = response[http::field::content_length];
  const bool is_head = request_.method() == http::verb::head;
  if (is_head) {
    if (!length.empty()) out.set(http::field::content_length, length);
  } else if (!IsBodyless(response.result_int())) {
    out.body() = std::move(response.body());
    out.content_length(out.body().size());
  }
  traffic_->options().metrics->IncrementCounter(
      "greengage_requests_total",
      absl::StrCat("result=\"", response.result_int(), "\""));
  traffic_->options().metrics->RecordLatency(
      "greengage_request_seconds",
      absl::StrCat("kind=\"", std::string(kRequestKindNames.Name(route_->kind)),
                   "\""),
      now - arrived_at_);
  Log(LogLevel::kInfo, Event::kRequestAnswered,
      absl::StrCat("status=", response.result_int(),
                   " attempt_ms=", Milliseconds(now - attempt_began_at_)),
      now);
  session_->Respond(std::move(out), traffic_->is_stopping());
}

void ForwardedRequest::RespondWithError(http::status status, Event event,
                                        const std::string& reason,
                                        TimePoint now) {
  is_finished_ = true;
  deadline_timer_.cancel();
  SessionResponse response(status, 11);
  traffic_->options().message_codec.prepare_own_response(
      caller_fields_.request_id, &response);
  std::string outcome =
      absl::StrCat("status=", static_cast<int>(status), " reason=", reason);
  if (retry_after_) {
    response.set(http::field::retry_after,
                 absl::StrFormat("%.3f", ToSeconds(*retry_after_)));
    absl::StrAppend(&outcome, " return_ms=", Milliseconds(*retry_after_));
  }
  if (status == http::status::service_unavailable) {
    const Duration pause = RetryAfterPause(now);
    response.set(http::field::retry_after,
                 absl::StrFormat("%.3f", ToSeconds(pause)));
    absl::StrAppend(&outcome, " utilization=", pick_.refused_utilization,
                    " demand_ratio=", pick_.admission.demand_ratio,
                    " return_ms=", Milliseconds(pause));
    const std::string barred_targets = BarredTargetsText(pick_);
    if (!barred_targets.empty()) {
      absl::StrAppend(&outcome, " barred=", barred_targets);
    }
  }
  if (status == http::status::unauthorized) {
    response.set(http::field::www_authenticate, "Bearer");
  }
  response.set(http::field::content_type, "text/plain");
  response.body() = reason + "\n";
  response.prepare_payload();
  traffic_->options().metrics->IncrementCounter(
      "greengage_refusals_total", absl::StrCat("reason=\"", reason, "\""));
  Log(LogLevel::kInfo, event, outcome, now);
  session_->Respond(std::move(response), traffic_->is_stopping());
}

void ForwardedRequest::Interrupt(TimePoint now) {
  deadline_timer_.cancel();
  const std::shared_ptr<TargetAttempt> attempt = std::exchange(attempt_, {});
  const bool is_sent = attempt != nullptr && attempt->is_sent();
  if (attempt != nullptr) attempt->Cancel();
  if (std::exchange(is_finished_, true)) return;
  const TimePoint stop_began_at =
      traffic_->stop_plan() ? traffic_->stop_plan()->began_at : now;
  Log(LogLevel::kWarning, Event::kRequestCut,
      absl::StrCat("since_stop_ms=", Milliseconds(arrived_at_ - stop_began_at),
                   " sent=", is_sent ? 1 : 0),
      now);
  session_->Abort();
}

void ForwardedRequest::Log(LogLevel level, Event event, const std::string& text,
                           TimePoint now) const {
  std::string line = absl::StrCat("id=", caller_fields_.request_id, " ", text);
  if (route_ != nullptr) {
    absl::StrAppend(&line, " route=", route_->name, " service=", service_,
                    " config=", route_table_->config()->version,
                    " left_ms=", Milliseconds(TimeLeft(now)));
  } else {
    absl::StrAppend(&line, " method=", ToStringView(request_.method_string()),
                    " path=", ToStringView(request_.target()));
  }
  if (caller_.tenant != nullptr) {
    absl::StrAppend(&line, " tenant=", caller_.tenant->name);
  }
  if (!tried_rows_.empty()) {
    const TargetStatus& row = traffic_->board().row(target_row_);
    absl::StrAppend(
        &line, " object=", caller_fields_.object,
        " target=", row.target.record.id, " zone=", row.target.record.zone,
        " first_choice=", pick_.is_first_choice ? 1 : 0,
        " limited=", rate_limited_targets_, " sends=", state_.sends,
        " own_load=", row.own_in_flight, " peers_load=", row.peers_in_flight);
  }
  absl::StrAppend(&line, " view=",
                  traffic_->view() == nullptr ? 0 : traffic_->view()->sequence,
                  " ms=", Milliseconds(now - arrived_at_));
  LogEvent(level, event, line);
}

}  // namespace greengage
