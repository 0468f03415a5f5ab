#include "gg_http/order_runner.h"

#include "absl/strings/str_cat.h"

namespace greengage {
namespace {

constexpr Duration kRepeatPoll = std::chrono::milliseconds(20);

TimePoint Now() { return std::chrono::steady_clock::now(); }

RefusalAnswer OrderRefusal(http::status status, Outcome outcome,
                           std::string reason, std::string text) {
  return {.status = status,
          .outcome = outcome,
          .reason = std::move(reason),
          .text = std::move(text),
          .step = Step::kOrderClaim};
}

RefusalAnswer KeyRequired() {
  return OrderRefusal(http::status::precondition_required, Outcome::kNotRun,
                      "key_required",
                      "send an Idempotency-Key: one of your own, or one from a "
                      "look-up with key=1");
}

RefusalAnswer UnusableKey(KeyStatus standing) {
  if (standing == KeyStatus::kForged) {
    return OrderRefusal(http::status::bad_request, Outcome::kNotRun,
                        "key_forged", "this key was never issued");
  }
  const bool is_expired = standing == KeyStatus::kExpired;
  return OrderRefusal(
      http::status::conflict, Outcome::kUnknown,
      is_expired ? "key_expired" : "key_lost",
      "whether an order with this key ran is no longer known; it will not run "
      "any more");
}

RefusalAnswer ClaimFailed(const absl::Status& error) {
  RefusalAnswer refusal = OrderRefusal(
      http::status::service_unavailable, Outcome::kUnknown, "claim_failed",
      absl::StrCat(
          "this request was not dispatched, but whether an earlier one "
          "with this key ran is not known: ",
          std::string(error.message())));
  refusal.peer = ErrorPeer(error);
  return refusal;
}

asio::awaitable<HandledRequest> SendRecorded(CallerConnection* caller,
                                             const RequestParser& request,
                                             OrderAnswer recorded) {
  http::response<http::string_body> answer(
      static_cast<http::status>(recorded.status), 11);
  if (!recorded.content_type.empty()) {
    answer.set(http::field::content_type, recorded.content_type);
  }
  answer.set("Greengage-Repeated",
             recorded.is_body_kept ? "answer" : "status-only");
  answer.body() = std::move(recorded.body);
  const bool keep_alive = request.is_done() && request.get().keep_alive();
  answer.keep_alive(keep_alive);
  answer.prepare_payload();
  ErrorCode error;
  caller->stream.expires_after(kCallerStallLimit);
  co_await http::async_write(caller->stream, answer, Await(&error));
  co_return HandledRequest{keep_alive && !error};
}

}  // namespace

asio::awaitable<HandledRequest> OrderRunner::Run(ForwardJob job) {
  job.outlives_caller = true;
  const std::string key(FromBeast(job.request->get()[ToBeast(kOrderKeyField)]));
  if (key.empty()) {
    if (job.route->requires_key) {
      co_return co_await SendRefusal(job.caller, *job.request, KeyRequired());
    }
    const ForwardResult result =
        co_await options_.forwarder->Forward(std::move(job));
    co_return result.handled;
  }
  HandledRequest handled;
  if (!co_await options_.forwarder->ReadBody(&job, &handled)) {
    co_return handled;
  }
  if (const auto issued = ParseOrderKey(key)) {
    co_return co_await RunIssued(std::move(job), *issued);
  }
  std::string order = absl::StrCat(job.service->name, "/", key);
  co_return co_await RunOwnKey(std::move(job), std::move(order));
}

asio::awaitable<HandledRequest> OrderRunner::RunIssued(ForwardJob job,
                                                       OrderKey key) {
  const KeyStatus standing = options_.steering->CheckKey(key, Now());
  const bool was_passed_on = !job.request->get()[ToBeast(kHopField)].empty();
  if (standing == KeyStatus::kPeer && !was_passed_on) {
    const ForwardResult result =
        co_await options_.forwarder->ForwardToPeer(std::move(job), key.address);
    co_return result.handled;
  }
  if (standing != KeyStatus::kOwn) {
    co_return co_await SendRefusal(job.caller, *job.request,
                                   UnusableKey(standing));
  }
  std::string order = absl::StrCat(job.service->name, "/", FormatOrderKey(key));
  OrderAnswer answer;
  const BeginResult begin = co_await Begin(order, &answer);
  if (begin != BeginResult::kStarted) {
    co_return co_await AnswerRepeat(std::move(job), begin, std::move(answer));
  }
  co_return co_await RunClaimed(std::move(job), std::move(order), 0);
}

asio::awaitable<HandledRequest> OrderRunner::RunOwnKey(ForwardJob job,
                                                       std::string order) {
  OrderAnswer answer;
  const BeginResult begin = co_await Begin(order, &answer);
  if (begin != BeginResult::kStarted) {
    co_return co_await AnswerRepeat(std::move(job), begin, std::move(answer));
  }
  OrderClaim claim = co_await options_.claims->Claim(order);
  if (claim.state == ClaimState::kOwn) {
    co_return co_await RunClaimed(std::move(job), std::move(order),
                                  claim.revision);
  }
  options_.steering->AbandonOrder(order);
  if (claim.state == ClaimState::kAnswered) {
    co_return co_await AnswerRepeat(std::move(job), BeginResult::kAnswered,
                                    std::move(claim.answer));
  }
  const bool was_passed_on = !job.request->get()[ToBeast(kHopField)].empty();
  if (claim.state == ClaimState::kElsewhere && !was_passed_on) {
    const ForwardResult result = co_await options_.forwarder->ForwardToPeer(
        std::move(job), claim.owner_address);
    co_return result.handled;
  }
  co_return co_await SendRefusal(job.caller, *job.request,
                                 ClaimFailed(claim.error));
}

asio::awaitable<HandledRequest> OrderRunner::RunClaimed(
    ForwardJob job, std::string order, uint64_t claim_revision) {
  const bool is_in_store = claim_revision != 0;
  OrderAnswer recorded;
  job.on_answer = [&](const OrderAnswer& answer) -> asio::awaitable<void> {
    recorded = answer;
    options_.steering->CompleteOrder(order, answer);
    co_return;
  };
  const ForwardResult result =
      co_await options_.forwarder->Forward(std::move(job));
  switch (result.fate) {
    case Fate::kNotRun:
      options_.steering->AbandonOrder(order);
      break;
    case Fate::kUnknown:
      options_.steering->MarkOrderUnknown(order);
      break;
    case Fate::kAnswered:
      if (is_in_store) {
        co_await options_.claims->Record(order, claim_revision, recorded);
      }
      break;
  }
  co_return result.handled;
}

asio::awaitable<BeginResult> OrderRunner::Begin(std::string order,
                                                OrderAnswer* answer) {
  const TimePoint give_up = Now() + options_.repeat_wait;
  for (;;) {
    const BeginResult begin =
        options_.steering->BeginOrder(order, Now(), answer);
    if (begin != BeginResult::kRunning || Now() >= give_up) co_return begin;
    co_await SleepFor(kRepeatPoll);
  }
}

asio::awaitable<HandledRequest> OrderRunner::AnswerRepeat(ForwardJob job,
                                                          BeginResult begin,
                                                          OrderAnswer answer) {
  if (begin == BeginResult::kAnswered) {
    co_return co_await SendRecorded(job.caller, *job.request,
                                    std::move(answer));
  }
  RefusalAnswer refusal =
      OrderRefusal(http::status::conflict, Outcome::kUnknown, "order_unknown",
                   "the order was dispatched and its answer was lost; it will "
                   "not run again");
  if (begin == BeginResult::kRunning) {
    refusal.reason = "order_running";
    refusal.text = "the order is running; ask again with the same key";
  } else if (begin == BeginResult::kFull) {
    refusal = OrderRefusal(http::status::service_unavailable, Outcome::kUnknown,
                           "ledger_full",
                           "no room for another order here; take another host");
  }
  co_return co_await SendRefusal(job.caller, *job.request, std::move(refusal));
}

}  // namespace greengage
