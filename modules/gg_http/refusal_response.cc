#include "gg_http/refusal_response.h"

#include <nlohmann/json.hpp>

namespace greengage {

RefusalResponse MakeMemoryRefusal(const CallerConnection& caller) {
  const EvictionReason reason =
      caller.memory.evicted.value_or(EvictionReason::kNoMemory);
  const bool is_slow = reason == EvictionReason::kSlowRequest;
  return {.status = is_slow ? http::status::request_timeout
                            : http::status::service_unavailable,
          .outcome = Outcome::kNotRun,
          .reason = std::string(kEvictionReasonNames.Name(reason)),
          .text = "memory is short; try again later or at another host",
          .step = Step::kBodyRead,
          .peer = caller.address};
}

asio::awaitable<HandlerResult> SendRefusal(CallerConnection* caller,
                                           const RequestParser& request,
                                           RefusalResponse refusal) {
  const std::string outcome(kOutcomeNames.Name(refusal.outcome));
  const nlohmann::json body{{"outcome", outcome},
                            {"reason", refusal.reason},
                            {"text", refusal.text},
                            {"step", kStepNames.Name(refusal.step)},
                            {"peer", refusal.peer}};
  http::response<http::string_body> response(refusal.status, 11);
  response.set(http::field::content_type, "application/json");
  response.set(http::field::cache_control, "no-store");
  response.set(ToBeast(kOutcomeField), outcome);
  if (refusal.status == http::status::service_unavailable) {
    response.set(http::field::retry_after, "1");
  }
  const bool keep_alive = request.is_done() && request.get().keep_alive();
  response.keep_alive(keep_alive);
  if (request.get().method() != http::verb::head) response.body() = body.dump();
  response.prepare_payload();
  http::response_serializer<http::string_body> serializer(response);
  const ErrorCode error = co_await WriteToCaller(caller, &serializer);
  co_return HandlerResult{keep_alive && !error};
}

}  // namespace greengage
