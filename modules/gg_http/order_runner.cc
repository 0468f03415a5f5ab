#include "gg_http/order_runner.h"

#include "absl/strings/str_cat.h"

namespace greengage {
namespace {

constexpr Duration kRepeatPollInterval = std::chrono::milliseconds(20);

TimePoint Now() { return std::chrono::steady_clock::now(); }

RefusalResponse MakeOrderRefusal(http::status status, Outcome outcome,
                                 std::string reason, std::string text) {
  return {.status = status,
          .outcome = outcome,
          .reason = std::move(reason),
          .text = std::move(text),
          .step = Step::kOrderClaim};
}

RefusalResponse MakeKeyRequiredRefusal() {
  return MakeOrderRefusal(
      http::status::precondition_required, Outcome::kNotRun, "key_required",
      "send an Idempotency-Key: one of your own, or one from a "
      "look-up with key=1");
}

RefusalResponse MakeUnusableKeyRefusal(KeyStatus standing) {
  if (standing == KeyStatus::kForged) {
    return MakeOrderRefusal(http::status::bad_request, Outcome::kNotRun,
                            "key_forged", "this key was never issued");
  }
  const bool is_expired = standing == KeyStatus::kExpired;
  return MakeOrderRefusal(
      http::status::conflict, Outcome::kUnknown,
      is_expired ? "key_expired" : "key_lost",
      "whether an order with this key ran is no longer known; it will not run "
      "any more");
}

RefusalResponse MakeClaimFailedRefusal(const absl::Status& error) {
  RefusalResponse refusal = MakeOrderRefusal(
      http::status::service_unavailable, Outcome::kUnknown, "claim_failed",
      absl::StrCat(
          "this request was not dispatched, but whether an earlier one "
          "with this key ran is not known: ",
          std::string(error.message())));
  refusal.peer = ErrorPeer(error);
  return refusal;
}

asio::awaitable<HandlerResult> SendRecordedAnswer(CallerConnection* caller,
                                                  const RequestParser& request,
                                                  OrderAnswer recorded) {
  http::response<http::string_body> response(
      static_cast<http::status>(recorded.status), 11);
  if (!recorded.content_type.empty()) {
    response.set(http::field::content_type, recorded.content_type);
  }
  response.set("Greengage-Repeated",
               recorded.is_body_kept ? "answer" : "status-only");
  response.body() = std::move(recorded.body);
  const bool keep_alive = request.is_done() && request.get().keep_alive();
  response.keep_alive(keep_alive);
  response.prepare_payload();
  http::response_serializer<http::string_body> serializer(response);
  const ErrorCode error = co_await WriteToCaller(caller, &serializer);
  co_return HandlerResult{keep_alive && !error};
}

}  // namespace

asio::awaitable<HandlerResult> OrderRunner::Run(ForwardJob job) {
  job.continues_after_disconnect = true;
  const std::string key(
      FromBeast(job.request->get()[ToBeast(kIdempotencyKeyField)]));
  if (key.empty()) {
    if (job.route->requires_key) {
      co_return co_await SendRefusal(job.caller, *job.request,
                                     MakeKeyRequiredRefusal());
    }
    const ForwardResult result =
        co_await options_.forwarder->Forward(std::move(job));
    co_return result.handler_result;
  }
  HandlerResult handler_result;
  if (!co_await options_.forwarder->ReadBody(&job, &handler_result)) {
    co_return handler_result;
  }
  if (const auto issued = ParseOrderKey(key)) {
    co_return co_await RunWithIssuedKey(std::move(job), *issued);
  }
  std::string order = absl::StrCat(job.service->name, "/", key);
  co_return co_await RunWithCallerKey(std::move(job), std::move(order));
}

asio::awaitable<HandlerResult> OrderRunner::RunWithIssuedKey(ForwardJob job,
                                                             OrderKey key) {
  const KeyStatus standing = options_.steering->CheckKey(key, Now());
  const bool was_forwarded_by_peer =
      !job.request->get()[ToBeast(kHopField)].empty();
  if (standing == KeyStatus::kPeer && !was_forwarded_by_peer) {
    const ForwardResult result =
        co_await options_.forwarder->ForwardToPeer(std::move(job), key.address);
    co_return result.handler_result;
  }
  if (standing != KeyStatus::kOwn) {
    co_return co_await SendRefusal(job.caller, *job.request,
                                   MakeUnusableKeyRefusal(standing));
  }
  std::string order = absl::StrCat(job.service->name, "/", FormatOrderKey(key));
  OrderAnswer answer;
  const BeginResult begin = co_await WaitToBegin(order, &answer);
  if (begin != BeginResult::kStarted) {
    co_return co_await RespondToRepeat(std::move(job), begin,
                                       std::move(answer));
  }
  co_return co_await RunAndRecord(std::move(job), std::move(order), 0);
}

asio::awaitable<HandlerResult> OrderRunner::RunWithCallerKey(
    ForwardJob job, std::string order) {
  OrderAnswer answer;
  const BeginResult begin = co_await WaitToBegin(order, &answer);
  if (begin != BeginResult::kStarted) {
    co_return co_await RespondToRepeat(std::move(job), begin,
                                       std::move(answer));
  }
  OrderClaim claim = co_await options_.claims->Claim(order);
  if (claim.state == ClaimState::kOwnedBySelf) {
    co_return co_await RunAndRecord(std::move(job), std::move(order),
                                    claim.revision);
  }
  options_.steering->AbandonOrder(order);
  if (claim.state == ClaimState::kAnswered) {
    co_return co_await RespondToRepeat(std::move(job), BeginResult::kAnswered,
                                       std::move(claim.answer));
  }
  const bool was_forwarded_by_peer =
      !job.request->get()[ToBeast(kHopField)].empty();
  if (claim.state == ClaimState::kOwnedByPeer && !was_forwarded_by_peer) {
    const ForwardResult result = co_await options_.forwarder->ForwardToPeer(
        std::move(job), claim.owner_address);
    co_return result.handler_result;
  }
  co_return co_await SendRefusal(job.caller, *job.request,
                                 MakeClaimFailedRefusal(claim.error));
}

asio::awaitable<HandlerResult> OrderRunner::RunAndRecord(
    ForwardJob job, std::string order, uint64_t claim_revision) {
  const bool has_stored_claim = claim_revision != 0;
  OrderAnswer recorded;
  job.on_response = [&](const OrderAnswer& answer) -> asio::awaitable<void> {
    recorded = answer;
    options_.steering->CompleteOrder(order, answer);
    co_return;
  };
  const ForwardResult result =
      co_await options_.forwarder->Forward(std::move(job));
  switch (result.outcome) {
    case ForwardOutcome::kNotRun:
      options_.steering->AbandonOrder(order);
      break;
    case ForwardOutcome::kUnknown:
      options_.steering->MarkOrderUnknown(order);
      break;
    case ForwardOutcome::kAnswered:
      if (has_stored_claim) {
        co_await options_.claims->RecordAnswer(order, claim_revision, recorded);
      }
      break;
  }
  co_return result.handler_result;
}

asio::awaitable<BeginResult> OrderRunner::WaitToBegin(std::string order,
                                                      OrderAnswer* answer) {
  const TimePoint deadline = Now() + options_.max_repeat_wait;
  for (;;) {
    const BeginResult begin =
        options_.steering->BeginOrder(order, Now(), answer);
    if (begin != BeginResult::kRunning || Now() >= deadline) co_return begin;
    co_await SleepFor(kRepeatPollInterval);
  }
}

asio::awaitable<HandlerResult> OrderRunner::RespondToRepeat(
    ForwardJob job, BeginResult begin, OrderAnswer answer) {
  if (begin == BeginResult::kAnswered) {
    co_return co_await SendRecordedAnswer(job.caller, *job.request,
                                          std::move(answer));
  }
  RefusalResponse refusal = MakeOrderRefusal(
      http::status::conflict, Outcome::kUnknown, "order_unknown",
      "the order was dispatched and its answer was lost; it will "
      "not run again");
  if (begin == BeginResult::kRunning) {
    refusal.reason = "order_running";
    refusal.text = "the order is running; ask again with the same key";
  } else if (begin == BeginResult::kFull) {
    refusal = MakeOrderRefusal(
        http::status::service_unavailable, Outcome::kUnknown, "ledger_full",
        "no room for another order here; take another host");
  }
  co_return co_await SendRefusal(job.caller, *job.request, std::move(refusal));
}

}  // namespace greengage
