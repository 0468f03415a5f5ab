#include "gg_http/forwarder.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"
#include "gg_http/target_exchange.h"
#include "gg_insight/event_log.h"
#include "gg_insight/metrics.h"
#include "gg_store/message_parsing.h"

namespace greengage {
namespace {

/** Time limit for a peer that runs an order whose route has no time limit. */
constexpr Duration kDefaultPeerTimeout = std::chrono::seconds(30);

/** Time added to the route's limit, so that a peer's own refusal at the limit
    still arrives. */
constexpr Duration kPeerTimeoutMargin = std::chrono::seconds(1);

/** Memory that is taken first for a body that is buffered. */
constexpr size_t kFirstBodyBytes = 4 * 1024;

TimePoint Now() { return std::chrono::steady_clock::now(); }

std::string RouteKindLabel(const RouteSpec& route) {
  return absl::StrCat("kind=\"", route.kind, "\"");
}

std::string MessageText(const absl::Status& status) {
  return {status.message().data(), status.message().size()};
}

RefusalResponse MakeBodyTooLongRefusal(const RouteSpec& route) {
  return {.status = http::status::payload_too_large,
          .outcome = Outcome::kNotRun,
          .reason = "body_too_long",
          .text = absl::StrCat("the body is longer than the route's limit of ",
                               route.body_limit, " bytes"),
          .step = Step::kBodyRead};
}

RefusalResponse MakeNotAdmittedRefusal(Refusal refusal) {
  const std::string reason(kRefusalNames.Name(refusal));
  return {.status = http::status::service_unavailable,
          .outcome = Outcome::kNotRun,
          .reason = reason,
          .text = "not admitted; try again later or at another host",
          .step = Step::kAdmission};
}

RefusalResponse MakeFailedExchangeRefusal(const absl::Status& status) {
  const bool is_deadline_exceeded =
      status.code() == absl::StatusCode::kDeadlineExceeded;
  return {
      .status = is_deadline_exceeded ? http::status::gateway_timeout
                                     : http::status::bad_gateway,
      .outcome = Outcome::kUnknown,
      .reason = is_deadline_exceeded ? "deadline" : "target_failed",
      .text = MessageText(status),
      .step =
          kStepNames.Parse(ErrorStep(status)).value_or(Step::kForwardReceive),
      .peer = ErrorPeer(status)};
}

/** Returns the refusal for a body that the caller stopped sending after a part
    of it had been sent to the target. */
RefusalResponse MakeIncompleteBodyRefusal(const absl::Status& status) {
  RefusalResponse refusal = MakeFailedExchangeRefusal(status);
  refusal.status = http::status::bad_request;
  refusal.reason = "body_broken";
  return refusal;
}

/** Returns true if the target refused the request and reported that it was not
    run. */
bool IsNotRunRejection(const ResponseHeader& response) {
  return response.result() == http::status::service_unavailable &&
         FromBeast(response[ToBeast(kOutcomeField)]) ==
             kOutcomeNames.Name(Outcome::kNotRun);
}

/** Returns true if the caller has disconnected and the request need not run
    without it. */
bool IsAbandoned(const ForwardJob& job) {
  return !job.continues_after_disconnect &&
         HasPeerClosed(job.caller->stream.socket());
}

}  // namespace

/** State of one request across its attempts. */
struct Forwarder::RequestState {
  explicit RequestState(Steering* request_steering)
      : steering(request_steering) {}

  /** Ends an open admission when an exception ends the request. */
  ~RequestState() {
    if (has_open_admission) {
      steering->Finish(admission, AttemptResult::kCancelled, Duration::zero(),
                       Now());
    }
  }
  RequestState(const RequestState&) = delete;
  RequestState& operator=(const RequestState&) = delete;

  Steering* steering;               // not owned
  bool has_open_admission = false;  // admitted, FinishAttempt() not called yet
  int attempt_count = 0;
  AdmissionRequest admission_request;
  Admission admission;
  TimePoint attempt_started_at{};
  TimePoint response_received_at{};
  TimePoint request_started_at{};
  std::optional<TimePoint> deadline;
  absl::Status last_error;
  bool was_dispatched = false;
  ForwardResult result;
};

RefusalResponse Forwarder::MakeConnectFailedRefusal(const RequestState& state) {
  RefusalResponse refusal = MakeFailedExchangeRefusal(state.last_error);
  refusal.reason = "connect_failed";
  if (!state.was_dispatched) {
    refusal.status = http::status::service_unavailable;
    refusal.outcome = Outcome::kNotRun;
  }
  return refusal;
}

asio::awaitable<ForwardResult> Forwarder::Forward(ForwardJob job) {
  RequestState state(options_.steering);
  state.request_started_at = Now();
  state.result.outcome = ForwardOutcome::kNotRun;
  if (!co_await ReadBody(&job, &state.result.handler_result)) {
    co_return state.result;
  }
  state.admission_request = {.service = job.service,
                             .route = job.route,
                             .home_region = job.home_region};
  if (job.route->time_limit > Duration::zero()) {
    state.deadline = Now() + job.route->time_limit;
  }
  while (co_await RunAttempt(job, &state) == AttemptOutcome::kRetry) {
    options_.metrics->IncrementCounter("greengage_retries_total",
                                       RouteKindLabel(*job.route));
  }
  options_.metrics->RecordLatency("greengage_request_seconds",
                                  RouteKindLabel(*job.route),
                                  Now() - state.request_started_at);
  co_return state.result;
}

asio::awaitable<bool> Forwarder::ReadBody(ForwardJob* job,
                                          HandlerResult* handler_result) {
  if (job->body) co_return true;
  RequestParser& request = *job->request;
  const auto limit = static_cast<uint64_t>(job->route->body_limit);
  const auto length = request.content_length();
  if (length && *length > limit) {
    *handler_result = co_await SendRefusal(job->caller, request,
                                           MakeBodyTooLongRefusal(*job->route));
    co_return false;
  }
  request.body_limit(limit);
  ErrorCode error;
  if (beast::iequals(request.get()[http::field::expect], "100-continue")) {
    http::response<http::empty_body> continue_response(http::status::continue_,
                                                       11);
    co_await http::async_write(job->caller->stream, continue_response,
                               Await(&error));
  }
  const bool is_bufferable = length && *length <= kMaxBufferedBodyBytes;
  CallerMemory& memory = job->caller->memory;
  if (!request.is_done() && !is_bufferable) {
    // For the part of the body that is on its way to the target. OrderRunner
    // may have called this function before.
    if (memory.body.bytes() > 0 ||
        co_await TakeCallerMemory(&memory, &memory.body, kBodyChunkBytes)) {
      co_return true;
    }
    *handler_result = co_await SendRefusal(job->caller, request,
                                           MakeMemoryRefusal(*job->caller));
    co_return false;
  }
  std::string body;
  size_t filled = 0;
  memory.BeginTransfer(PeerActivity::kReceiving, Now());
  request.eager(true);
  while (!error && !request.is_done()) {
    if (filled == body.size()) {
      // An announced length takes no memory before its bytes arrive.
      const size_t grown =
          std::min<size_t>(*length, std::max(kFirstBodyBytes, 2 * body.size()));
      if (!co_await TakeCallerMemory(&memory, &memory.body,
                                     grown - body.size())) {
        break;
      }
      body.resize(grown);
    }
    request.get().body().data = body.data() + filled;
    request.get().body().size = body.size() - filled;
    job->caller->stream.expires_after(kCallerIoTimeout);
    error = co_await ReadMessageSome(&job->caller->stream, &job->caller->buffer,
                                     &request);
    if (error == http::error::need_buffer) error = {};
    const size_t now_filled = body.size() - request.get().body().size;
    memory.progress.Record(now_filled - filled, Now());
    filled = now_filled;
  }
  memory.EndTransfer();
  body.resize(filled);
  job->body = std::move(body);
  if (memory.evicted) {
    *handler_result = co_await SendRefusal(job->caller, request,
                                           MakeMemoryRefusal(*job->caller));
    handler_result->keep_alive = false;
    co_return false;
  }
  if (!error) co_return true;
  RefusalResponse refusal{
      .status = http::status::bad_request,
      .outcome = Outcome::kNotRun,
      .reason = "body_broken",
      .text = absl::StrCat("the body ended early: ", error.message()),
      .step = Step::kBodyRead,
      .peer = job->caller->address};
  *handler_result =
      co_await SendRefusal(job->caller, request, std::move(refusal));
  handler_result->keep_alive = false;
  co_return false;
}

asio::awaitable<Forwarder::AttemptOutcome> Forwarder::RunAttempt(
    const ForwardJob& job, RequestState* state) {
  if (IsAbandoned(job)) co_return AbandonRequest(job, state);
  ++state->attempt_count;
  state->admission = options_.steering->Admit(state->admission_request, Now());
  if (!state->admission.is_admitted()) {
    // After an attempt that was dispatched, the error of that attempt is
    // reported: it says more than the refusal, and the request may have run.
    const bool is_first = state->last_error.ok();
    RefusalResponse refusal =
        is_first || !state->was_dispatched
            ? MakeNotAdmittedRefusal(state->admission.refusal)
            : MakeFailedExchangeRefusal(state->last_error);
    state->result.outcome = state->was_dispatched ? ForwardOutcome::kUnknown
                                                  : ForwardOutcome::kNotRun;
    co_await RefuseRequest(job, state, std::move(refusal));
    co_return AttemptOutcome::kDone;
  }
  state->has_open_admission = true;
  state->attempt_started_at = Now();
  const std::string& address = state->admission.target_address;
  // The target may close an idle connection while the request is being sent,
  // which leaves open whether it ran. Only idempotent requests reuse one.
  TargetConnectionPtr connection;
  if (job.route->is_idempotent) {
    connection = options_.pool->TakeIdle(address, Now());
  }
  const bool is_reused_connection = connection != nullptr;
  if (connection == nullptr) {
    auto connected = co_await options_.pool->Connect(address);
    if (!connected.ok()) {
      state->last_error = connected.status();
      FinishAttempt(job, state, AttemptResult::kFailed);
      if (state->attempt_count < options_.max_attempts) {
        co_return AttemptOutcome::kRetry;
      }
      co_await RefuseRequest(job, state, MakeConnectFailedRefusal(*state));
      co_return AttemptOutcome::kDone;
    }
    connection = *std::move(connected);
    if (IsAbandoned(job)) {
      FinishAttempt(job, state, AttemptResult::kCancelled);
      options_.pool->ReturnConnection(std::move(connection), Now());
      co_return AbandonRequest(job, state);
    }
  }
  ExchangeOptions exchange_options;
  exchange_options.caller = job.caller;
  exchange_options.request = job.request;
  exchange_options.target = connection.get();
  exchange_options.buffered_request_body = job.body ? &*job.body : nullptr;
  exchange_options.attempt_id = absl::StrCat(absl::Hex(++last_attempt_id_));
  exchange_options.is_reused_connection = is_reused_connection;
  exchange_options.deadline = state->deadline;
  exchange_options.cancels_on_disconnect = !job.continues_after_disconnect;
  if (state->deadline) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(*state->deadline -
                                                              Now());
    exchange_options.extra_fields.set(
        ToBeast(kDeadlineField),
        std::to_string(std::max<int64_t>(remaining.count(), 0)));
  }
  const std::string& own_region = options_.steering->options().region;
  const std::string& target_region = state->admission.target_region;
  if (own_region != target_region) {
    Steering* steering = options_.steering;
    exchange_options.request_pacer = [=](int64_t bytes) {
      return steering->ReserveLink(own_region, target_region, bytes, Now());
    };
    exchange_options.response_pacer = [=](int64_t bytes) {
      return steering->ReserveLink(target_region, own_region, bytes, Now());
    };
  }
  TargetExchange exchange(std::move(exchange_options));
  const AttemptOutcome attempt_outcome =
      co_await ExchangeWithTarget(job, state, &exchange);
  if (exchange.is_target_reusable()) {
    options_.pool->ReturnConnection(std::move(connection), Now());
  }
  co_return attempt_outcome;
}

Forwarder::AttemptOutcome Forwarder::AbandonRequest(const ForwardJob& job,
                                                    RequestState* state) {
  options_.metrics->IncrementCounter("greengage_callers_gone_total",
                                     "sent=\"0\"");
  LogEvent(LogLevel::kDebug, Event::kCallerGone,
           absl::StrCat("sent=0 service=", job.service->name, " kind=",
                        job.route->kind, " caller=", job.caller->address));
  state->result = {{false},
                   state->was_dispatched ? ForwardOutcome::kUnknown
                                         : ForwardOutcome::kNotRun};
  return AttemptOutcome::kDone;
}

asio::awaitable<Forwarder::AttemptOutcome> Forwarder::ExchangeWithTarget(
    const ForwardJob& job, RequestState* state, TargetExchange* exchange) {
  absl::Status status = co_await exchange->SendRequest();
  if (status.ok() || ErrorStep(status) == kStepNames.Name(Step::kForwardSend)) {
    // A target may respond before it has read the whole request and then close
    // the connection; that response is still used.
    const absl::Status read_status = co_await exchange->ReadResponseHeader();
    if (status.ok() || read_status.ok()) status = read_status;
  }
  const bool buffers_response = job.body.has_value() || job.on_response;
  if (status.ok() && buffers_response) {
    status = co_await exchange->BufferResponseBody();
  }
  // "Not run" concerns this attempt only; an earlier attempt may have run.
  const bool is_not_run =
      status.ok() && IsNotRunRejection(exchange->response());
  const bool was_dispatched_before = state->was_dispatched;
  if (!is_not_run) state->was_dispatched |= exchange->is_dispatched();
  state->response_received_at = Now();
  if (exchange->has_caller_disconnected()) {
    state->result = {{false}, ForwardOutcome::kUnknown};
    FinishAttempt(job, state, AttemptResult::kCancelled);
    co_return AttemptOutcome::kDone;
  }
  if (ErrorStep(status) == kStepNames.Name(Step::kBodyRead)) {
    state->result.outcome = ForwardOutcome::kUnknown;
    FinishAttempt(job, state, AttemptResult::kCancelled);
    co_await RefuseRequest(job, state, MakeIncompleteBodyRefusal(status));
    co_return AttemptOutcome::kDone;
  }
  const bool can_retry =
      job.body.has_value() && state->attempt_count < options_.max_attempts;
  if (!status.ok()) {
    state->last_error = status;
    FinishAttempt(job, state,
                  exchange->has_stale_response() ? AttemptResult::kCancelled
                                                 : AttemptResult::kFailed);
    const bool is_deadline_exceeded =
        status.code() == absl::StatusCode::kDeadlineExceeded;
    if (job.route->is_idempotent && can_retry && !is_deadline_exceeded) {
      co_return AttemptOutcome::kRetry;
    }
    LogError(Event::kRequestFailed, status);
    state->result.outcome = ForwardOutcome::kUnknown;
    co_await RefuseRequest(job, state, MakeFailedExchangeRefusal(status));
    co_return AttemptOutcome::kDone;
  }
  const bool is_shed =
      exchange->response().result() == http::status::service_unavailable;
  if (is_shed && can_retry && (is_not_run || job.route->is_idempotent)) {
    state->last_error =
        StepError(absl::StatusCode::kResourceExhausted, Step::kForwardReceive,
                  state->admission.target_address, "target sheds load");
    FinishAttempt(job, state, AttemptResult::kShed);
    co_return AttemptOutcome::kRetry;
  }
  if (is_not_run && was_dispatched_before) {
    FinishAttempt(job, state, AttemptResult::kShed);
    state->result.outcome = ForwardOutcome::kUnknown;
    co_await RefuseRequest(job, state,
                           MakeFailedExchangeRefusal(state->last_error));
    co_return AttemptOutcome::kDone;
  }
  const AttemptResult result =
      is_shed ? AttemptResult::kShed : AttemptResult::kAnswered;
  // Once the whole response is buffered the target is done, so the permit is
  // returned before the caller, which may be slow, receives the response.
  const bool is_target_done = exchange->is_fully_buffered();
  if (is_target_done) FinishAttempt(job, state, result);
  co_await SendResponse(job, state, exchange);
  if (!is_target_done) FinishAttempt(job, state, result);
  co_return AttemptOutcome::kDone;
}

asio::awaitable<void> Forwarder::SendResponse(const ForwardJob& job,
                                              RequestState* state,
                                              TargetExchange* exchange) {
  const bool should_close = options_.is_draining();
  const bool was_run = !IsNotRunRejection(exchange->response());
  state->result.outcome =
      was_run ? ForwardOutcome::kAnswered : ForwardOutcome::kNotRun;
  if (job.on_response && was_run) {
    OrderAnswer answer{
        .status = static_cast<int>(exchange->response().result_int()),
        .content_type = std::string(
            FromBeast(exchange->response()[http::field::content_type]))};
    answer.is_body_kept = exchange->is_fully_buffered();
    if (answer.is_body_kept) answer.body = exchange->buffered_body();
    co_await job.on_response(answer);
  }
  bool is_complete = true;
  if (exchange->is_fully_buffered()) {
    state->result.handler_result =
        co_await exchange->SendBufferedResponse(should_close);
  } else {
    state->result.handler_result =
        co_await exchange->RelayResponse(should_close, &is_complete);
  }
  options_.metrics->IncrementCounter(
      "greengage_requests_total",
      absl::StrCat(RouteKindLabel(*job.route), ",result=\"",
                   is_complete ? "answered" : "cut", "\""));
}

asio::awaitable<void> Forwarder::RefuseRequest(const ForwardJob& job,
                                               RequestState* state,
                                               RefusalResponse refusal) {
  options_.metrics->IncrementCounter(
      "greengage_refusals_total",
      absl::StrCat(RouteKindLabel(*job.route), ",reason=\"", refusal.reason,
                   "\",outcome=\"",
                   std::string(kOutcomeNames.Name(refusal.outcome)), "\""));
  LogEvent(LogLevel::kDebug, Event::kRequestRefused,
           absl::StrCat("service=", job.service->name,
                        " kind=", job.route->kind, " reason=", refusal.reason,
                        " caller=", job.caller->address));
  state->result.handler_result =
      co_await SendRefusal(job.caller, *job.request, std::move(refusal));
}

void Forwarder::FinishAttempt(const ForwardJob& job, RequestState* state,
                              AttemptResult result) {
  state->has_open_admission = false;
  const TargetChange change = options_.steering->Finish(
      state->admission, result,
      state->response_received_at - state->attempt_started_at, Now());
  state->admission_request.retry_region = state->admission.target_region;
  state->admission_request.tried_rows.push_back(state->admission.row);
  if (change == TargetChange::kNone) return;
  const bool is_ejected = change == TargetChange::kEjected;
  LogEvent(LogLevel::kWarning,
           is_ejected ? Event::kTargetEjected : Event::kTargetRestored,
           absl::StrCat("service=", job.service->name,
                        " target=", state->admission.target_name,
                        " address=", state->admission.target_address));
}

asio::awaitable<ForwardResult> Forwarder::ForwardToPeer(ForwardJob job,
                                                        std::string address) {
  ForwardResult result{.outcome = ForwardOutcome::kUnknown};
  const auto send_refusal = [&](const absl::Status& status) {
    RefusalResponse refusal = MakeFailedExchangeRefusal(status);
    refusal.reason = "issuer_unreachable";
    return SendRefusal(job.caller, *job.request, std::move(refusal));
  };
  auto connected = co_await options_.pool->Connect(address);
  if (!connected.ok()) {
    result.handler_result = co_await send_refusal(connected.status());
    co_return result;
  }
  ExchangeOptions exchange_options;
  exchange_options.caller = job.caller;
  exchange_options.request = job.request;
  exchange_options.target = connected->get();
  exchange_options.buffered_request_body = job.body ? &*job.body : nullptr;
  exchange_options.cancels_on_disconnect = !job.continues_after_disconnect;
  if (job.body) {
    // A hung peer still accepts connections but never responds.
    const Duration limit = job.route->time_limit > Duration::zero()
                               ? job.route->time_limit
                               : kDefaultPeerTimeout;
    exchange_options.deadline = Now() + limit + kPeerTimeoutMargin;
  }
  exchange_options.extra_fields.set(ToBeast(kHopField), "1");
  exchange_options.extra_fields.set(ToBeast(kHomeRegionField), job.home_region);
  TargetExchange exchange(std::move(exchange_options));
  absl::Status status = co_await exchange.SendRequest();
  if (status.ok()) status = co_await exchange.ReadResponseHeader();
  if (status.ok()) status = co_await exchange.BufferResponseBody();
  if (!status.ok()) {
    result.handler_result = co_await send_refusal(status);
    co_return result;
  }
  result.outcome = ForwardOutcome::kAnswered;
  bool is_complete = true;
  if (exchange.is_fully_buffered()) {
    result.handler_result =
        co_await exchange.SendBufferedResponse(options_.is_draining());
  } else {
    result.handler_result =
        co_await exchange.RelayResponse(options_.is_draining(), &is_complete);
  }
  co_return result;
}

}  // namespace greengage
