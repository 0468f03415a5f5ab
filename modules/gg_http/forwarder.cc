#include "gg_http/forwarder.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"
#include "gg_http/target_exchange.h"
#include "gg_insight/event_log.h"
#include "gg_insight/metrics.h"

namespace greengage {
namespace {

/** Longest wait for a peer that runs an order on a route without a time limit.
 */
constexpr Duration kPeerAnswerLimit = std::chrono::seconds(30);

/** Time that a peer gets beyond the route's limit, for its own refusal to
 * arrive. */
constexpr Duration kPeerMargin = std::chrono::seconds(1);

TimePoint Now() { return std::chrono::steady_clock::now(); }

std::string KindLabel(const RouteSpec& route) {
  return absl::StrCat("kind=\"", route.kind, "\"");
}

std::string Message(const absl::Status& status) {
  return {status.message().data(), status.message().size()};
}

RefusalAnswer BodyTooLong(const RouteSpec& route) {
  return {.status = http::status::payload_too_large,
          .outcome = Outcome::kNotRun,
          .reason = "body_too_long",
          .text = absl::StrCat("the body is longer than the route's limit of ",
                               route.body_limit, " bytes"),
          .step = Step::kBodyRead};
}

RefusalAnswer NotAdmitted(Refusal refusal) {
  const std::string reason(kRefusalNames.Name(refusal));
  return {.status = http::status::service_unavailable,
          .outcome = Outcome::kNotRun,
          .reason = reason,
          .text = "not admitted; try again later or at another host",
          .step = Step::kAdmission};
}

RefusalAnswer LostAnswer(const absl::Status& status) {
  const bool is_late = status.code() == absl::StatusCode::kDeadlineExceeded;
  return {
      .status =
          is_late ? http::status::gateway_timeout : http::status::bad_gateway,
      .outcome = Outcome::kUnknown,
      .reason = is_late ? "deadline" : "target_failed",
      .text = Message(status),
      .step =
          kStepNames.Parse(ErrorStep(status)).value_or(Step::kForwardReceive),
      .peer = ErrorPeer(status)};
}

/** The caller's body broke off after a part of it went to the target. */
RefusalAnswer BrokenBody(const absl::Status& status) {
  RefusalAnswer refusal = LostAnswer(status);
  refusal.status = http::status::bad_request;
  refusal.reason = "body_broken";
  return refusal;
}

/** True when the target says that it refused the request without running it. */
bool IsUnrunShed(const ResponseHeader& answer) {
  return answer.result() == http::status::service_unavailable &&
         FromBeast(answer[ToBeast(kOutcomeField)]) ==
             kOutcomeNames.Name(Outcome::kNotRun);
}

}  // namespace

/** State of one request over all its attempts. */
struct Forwarder::Attempt {
  explicit Attempt(Steering* attempt_steering) : steering(attempt_steering) {}

  /** Gives an open admission back when the request ends by an exception. */
  ~Attempt() {
    if (is_open) {
      steering->Finish(admission, AttemptResult::kCancelled, Duration::zero(),
                       Now());
    }
  }
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  Steering* steering;    // not owned
  bool is_open = false;  // admitted and not finished
  int number = 0;
  AdmissionRequest admission_request;
  Admission admission;
  TimePoint started_at{};
  TimePoint answered_at{};
  TimePoint request_started_at{};
  std::optional<TimePoint> deadline;
  absl::Status last_error;
  bool any_dispatched = false;
  ForwardResult result;
};

RefusalAnswer Forwarder::NoConnection(const Attempt& attempt) {
  RefusalAnswer refusal = LostAnswer(attempt.last_error);
  refusal.reason = "connect_failed";
  if (!attempt.any_dispatched) {
    refusal.status = http::status::service_unavailable;
    refusal.outcome = Outcome::kNotRun;
  }
  return refusal;
}

asio::awaitable<ForwardResult> Forwarder::Forward(ForwardJob job) {
  Attempt attempt(options_.steering);
  attempt.request_started_at = Now();
  attempt.result.fate = Fate::kNotRun;
  if (!co_await ReadBody(&job, &attempt.result.handled)) {
    co_return attempt.result;
  }
  attempt.admission_request = {.service = job.service,
                               .route = job.route,
                               .home_region = job.home_region};
  if (job.route->time_limit > Duration::zero()) {
    attempt.deadline = Now() + job.route->time_limit;
  }
  while (co_await RunAttempt(job, &attempt) == Verdict::kRetry) {
    options_.metrics->IncrementCounter("greengage_retries_total",
                                       KindLabel(*job.route));
  }
  options_.metrics->RecordLatency("greengage_request_seconds",
                                  KindLabel(*job.route),
                                  Now() - attempt.request_started_at);
  co_return attempt.result;
}

asio::awaitable<bool> Forwarder::ReadBody(ForwardJob* job,
                                          HandledRequest* handled) {
  if (job->body) co_return true;
  RequestParser& request = *job->request;
  const auto limit = static_cast<uint64_t>(job->route->body_limit);
  const auto length = request.content_length();
  if (length && *length > limit) {
    *handled =
        co_await SendRefusal(job->caller, request, BodyTooLong(*job->route));
    co_return false;
  }
  request.body_limit(limit);
  ErrorCode error;
  if (beast::iequals(request.get()[http::field::expect], "100-continue")) {
    http::response<http::empty_body> go_on(http::status::continue_, 11);
    co_await http::async_write(job->caller->stream, go_on, Await(&error));
  }
  const bool is_short = length && *length <= kHeldBodyBytes;
  if (!request.is_done() && !is_short) co_return true;
  std::string body(is_short ? *length : 0, '\0');
  request.get().body().data = body.data();
  request.get().body().size = body.size();
  while (!error && !request.is_done()) {
    job->caller->stream.expires_after(kCallerStallLimit);
    co_await http::async_read(job->caller->stream, job->caller->buffer, request,
                              Await(&error));
    if (error == http::error::need_buffer) error = {};
  }
  job->body = std::move(body);
  if (!error) co_return true;
  RefusalAnswer refusal{
      .status = http::status::bad_request,
      .outcome = Outcome::kNotRun,
      .reason = "body_broken",
      .text = absl::StrCat("the body ended early: ", error.message()),
      .step = Step::kBodyRead,
      .peer = job->caller->address};
  *handled = co_await SendRefusal(job->caller, request, std::move(refusal));
  handled->keep_alive = false;
  co_return false;
}

asio::awaitable<Forwarder::Verdict> Forwarder::RunAttempt(const ForwardJob& job,
                                                          Attempt* attempt) {
  ++attempt->number;
  attempt->admission =
      options_.steering->Admit(attempt->admission_request, Now());
  if (!attempt->admission.is_admitted()) {
    // After a failed attempt the earlier error says more than the refusal.
    const bool is_first = attempt->last_error.ok();
    RefusalAnswer refusal = is_first || !attempt->any_dispatched
                                ? NotAdmitted(attempt->admission.refusal)
                                : LostAnswer(attempt->last_error);
    attempt->result.fate =
        attempt->any_dispatched ? Fate::kUnknown : Fate::kNotRun;
    co_await Refuse(job, attempt, std::move(refusal));
    co_return Verdict::kDone;
  }
  attempt->is_open = true;
  attempt->started_at = Now();
  const std::string& address = attempt->admission.target_address;
  // A reused connection may be closed by the target at the very moment the
  // request is sent; only an idempotent request can take that chance.
  TargetConnectionPtr connection;
  if (job.route->is_idempotent) {
    connection = options_.pool->TakeIdle(address, Now());
  }
  if (connection == nullptr) {
    auto connected = co_await options_.pool->Connect(address);
    if (!connected.ok()) {
      attempt->last_error = connected.status();
      Finish(job, attempt, AttemptResult::kFailed);
      if (attempt->number < options_.max_attempts) co_return Verdict::kRetry;
      co_await Refuse(job, attempt, NoConnection(*attempt));
      co_return Verdict::kDone;
    }
    connection = *std::move(connected);
  }
  ExchangeParts parts;
  parts.caller = job.caller;
  parts.request = job.request;
  parts.target = connection.get();
  parts.held_body = job.body ? &*job.body : nullptr;
  parts.deadline = attempt->deadline;
  parts.cancel_with_caller = !job.outlives_caller;
  if (attempt->deadline) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        *attempt->deadline - Now());
    parts.extra_fields.set(ToBeast(kDeadlineField),
                           std::to_string(std::max<int64_t>(left.count(), 0)));
  }
  const std::string& own = options_.steering->options().region;
  const std::string& remote = attempt->admission.target_region;
  if (own != remote) {
    Steering* steering = options_.steering;
    parts.pace_request = [=](int64_t bytes) {
      return steering->ReserveLink(own, remote, bytes, Now());
    };
    parts.pace_answer = [=](int64_t bytes) {
      return steering->ReserveLink(remote, own, bytes, Now());
    };
  }
  TargetExchange exchange(std::move(parts));
  const Verdict verdict = co_await Exchange(job, attempt, &exchange);
  if (exchange.target_reusable()) {
    options_.pool->Put(std::move(connection), Now());
  }
  co_return verdict;
}

asio::awaitable<Forwarder::Verdict> Forwarder::Exchange(
    const ForwardJob& job, Attempt* attempt, TargetExchange* exchange) {
  absl::Status status = co_await exchange->Send();
  if (status.ok() || ErrorStep(status) == kStepNames.Name(Step::kForwardSend)) {
    // A target may answer early and close; the answer still counts.
    const absl::Status answered = co_await exchange->ReadHeader();
    if (status.ok() || answered.ok()) status = answered;
  }
  const bool holds_answer = job.body.has_value() || job.on_answer;
  if (status.ok() && holds_answer) {
    status = co_await exchange->ReadHeldBody();
  }
  // A target's word that it did not run this attempt says nothing of earlier
  // ones.
  const bool is_unrun = status.ok() && IsUnrunShed(exchange->answer());
  const bool had_dispatched = attempt->any_dispatched;
  if (!is_unrun) attempt->any_dispatched |= exchange->dispatched();
  attempt->answered_at = Now();
  if (exchange->caller_gone()) {
    attempt->result = {{false}, Fate::kUnknown};
    Finish(job, attempt, AttemptResult::kCancelled);
    co_return Verdict::kDone;
  }
  if (ErrorStep(status) == kStepNames.Name(Step::kBodyRead)) {
    attempt->result.fate = Fate::kUnknown;
    Finish(job, attempt, AttemptResult::kCancelled);
    co_await Refuse(job, attempt, BrokenBody(status));
    co_return Verdict::kDone;
  }
  const bool can_repeat =
      job.body.has_value() && attempt->number < options_.max_attempts;
  if (!status.ok()) {
    attempt->last_error = status;
    Finish(job, attempt, AttemptResult::kFailed);
    const bool is_late = status.code() == absl::StatusCode::kDeadlineExceeded;
    if (job.route->is_idempotent && can_repeat && !is_late) {
      co_return Verdict::kRetry;
    }
    LogError(Event::kRequestFailed, status);
    attempt->result.fate = Fate::kUnknown;
    co_await Refuse(job, attempt, LostAnswer(status));
    co_return Verdict::kDone;
  }
  const bool is_shed =
      exchange->answer().result() == http::status::service_unavailable;
  if (is_shed && can_repeat && (is_unrun || job.route->is_idempotent)) {
    attempt->last_error =
        StepError(absl::StatusCode::kResourceExhausted, Step::kForwardReceive,
                  attempt->admission.target_address, "target sheds load");
    Finish(job, attempt, AttemptResult::kShed);
    co_return Verdict::kRetry;
  }
  if (is_unrun && had_dispatched) {
    Finish(job, attempt, AttemptResult::kShed);
    attempt->result.fate = Fate::kUnknown;
    co_await Refuse(job, attempt, LostAnswer(attempt->last_error));
    co_return Verdict::kDone;
  }
  const AttemptResult result =
      is_shed ? AttemptResult::kShed : AttemptResult::kAnswered;
  // With a held answer the target is done; a slow caller must not keep the
  // permit.
  const bool is_target_done = exchange->held_whole();
  if (is_target_done) Finish(job, attempt, result);
  co_await Answer(job, attempt, exchange);
  if (!is_target_done) Finish(job, attempt, result);
  co_return Verdict::kDone;
}

asio::awaitable<void> Forwarder::Answer(const ForwardJob& job, Attempt* attempt,
                                        TargetExchange* exchange) {
  const bool close_after = options_.is_draining();
  const bool was_run = !IsUnrunShed(exchange->answer());
  attempt->result.fate = was_run ? Fate::kAnswered : Fate::kNotRun;
  if (job.on_answer && was_run) {
    OrderAnswer answer{
        .status = static_cast<int>(exchange->answer().result_int()),
        .content_type = std::string(
            FromBeast(exchange->answer()[http::field::content_type]))};
    answer.is_body_kept = exchange->held_whole();
    if (answer.is_body_kept) answer.body = exchange->held();
    co_await job.on_answer(answer);
  }
  bool whole = true;
  if (exchange->held_whole()) {
    attempt->result.handled = co_await exchange->SendHeld(close_after);
  } else {
    attempt->result.handled = co_await exchange->Relay(close_after, &whole);
  }
  options_.metrics->IncrementCounter(
      "greengage_requests_total",
      absl::StrCat(KindLabel(*job.route), ",result=\"",
                   whole ? "answered" : "cut", "\""));
}

asio::awaitable<void> Forwarder::Refuse(const ForwardJob& job, Attempt* attempt,
                                        RefusalAnswer refusal) {
  options_.metrics->IncrementCounter(
      "greengage_refusals_total",
      absl::StrCat(KindLabel(*job.route), ",reason=\"", refusal.reason,
                   "\",outcome=\"",
                   std::string(kOutcomeNames.Name(refusal.outcome)), "\""));
  LogEvent(LogLevel::kDebug, Event::kRequestRefused,
           absl::StrCat("service=", job.service->name,
                        " kind=", job.route->kind, " reason=", refusal.reason,
                        " caller=", job.caller->address));
  attempt->result.handled =
      co_await SendRefusal(job.caller, *job.request, std::move(refusal));
}

void Forwarder::Finish(const ForwardJob& job, Attempt* attempt,
                       AttemptResult result) {
  attempt->is_open = false;
  const TargetChange change = options_.steering->Finish(
      attempt->admission, result, attempt->answered_at - attempt->started_at,
      Now());
  attempt->admission_request.retry_region = attempt->admission.target_region;
  attempt->admission_request.tried_rows.push_back(attempt->admission.row);
  if (change == TargetChange::kNone) return;
  const bool is_ejected = change == TargetChange::kEjected;
  LogEvent(LogLevel::kWarning,
           is_ejected ? Event::kTargetEjected : Event::kTargetRestored,
           absl::StrCat("service=", job.service->name,
                        " target=", attempt->admission.target_name,
                        " address=", attempt->admission.target_address));
}

asio::awaitable<ForwardResult> Forwarder::ForwardToPeer(ForwardJob job,
                                                        std::string address) {
  ForwardResult result{.fate = Fate::kUnknown};
  const auto refuse = [&](const absl::Status& status) {
    RefusalAnswer refusal = LostAnswer(status);
    refusal.reason = "issuer_unreachable";
    return SendRefusal(job.caller, *job.request, std::move(refusal));
  };
  auto connected = co_await options_.pool->Connect(address);
  if (!connected.ok()) {
    result.handled = co_await refuse(connected.status());
    co_return result;
  }
  ExchangeParts parts;
  parts.caller = job.caller;
  parts.request = job.request;
  parts.target = connected->get();
  parts.held_body = job.body ? &*job.body : nullptr;
  parts.cancel_with_caller = !job.outlives_caller;
  if (job.body) {
    // A frozen peer accepts connections and never answers.
    const Duration limit = job.route->time_limit > Duration::zero()
                               ? job.route->time_limit
                               : kPeerAnswerLimit;
    parts.deadline = Now() + limit + kPeerMargin;
  }
  parts.extra_fields.set(ToBeast(kHopField), "1");
  parts.extra_fields.set(ToBeast(kHomeField), job.home_region);
  TargetExchange exchange(std::move(parts));
  absl::Status status = co_await exchange.Send();
  if (status.ok()) status = co_await exchange.ReadHeader();
  if (status.ok()) status = co_await exchange.ReadHeldBody();
  if (!status.ok()) {
    result.handled = co_await refuse(status);
    co_return result;
  }
  result.fate = Fate::kAnswered;
  bool whole = true;
  if (exchange.held_whole()) {
    result.handled = co_await exchange.SendHeld(options_.is_draining());
  } else {
    result.handled = co_await exchange.Relay(options_.is_draining(), &whole);
  }
  co_return result;
}

}  // namespace greengage
