#include "gg_http/refusal_answer.h"

#include <nlohmann/json.hpp>

namespace greengage {

asio::awaitable<HandledRequest> SendRefusal(CallerConnection* caller,
                                            const RequestParser& request,
                                            RefusalAnswer refusal) {
  const std::string outcome(kOutcomeNames.Name(refusal.outcome));
  const nlohmann::json body{{"outcome", outcome},
                            {"reason", refusal.reason},
                            {"text", refusal.text},
                            {"step", kStepNames.Name(refusal.step)},
                            {"peer", refusal.peer}};
  http::response<http::string_body> answer(refusal.status, 11);
  answer.set(http::field::content_type, "application/json");
  answer.set(http::field::cache_control, "no-store");
  answer.set(ToBeast(kOutcomeField), outcome);
  if (refusal.status == http::status::service_unavailable) {
    answer.set(http::field::retry_after, "1");
  }
  const bool keep_alive = request.is_done() && request.get().keep_alive();
  answer.keep_alive(keep_alive);
  if (request.get().method() != http::verb::head) answer.body() = body.dump();
  answer.prepare_payload();
  ErrorCode error;
  caller->stream.expires_after(kCallerStallLimit);
  co_await http::async_write(caller->stream, answer, Await(&error));
  co_return HandledRequest{keep_alive && !error};
}

}  // namespace greengage
