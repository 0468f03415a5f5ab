#ifndef GG_HTTP_TARGET_EXCHANGE_H_
#define GG_HTTP_TARGET_EXCHANGE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/status/status.h"
#include "gg_core/errors.h"
#include "gg_core/time.h"
#include "gg_http/caller_connection.h"
#include "gg_http/http_types.h"
#include "gg_http/target_pool.h"

namespace greengage {

/** Asks to move `bytes`; zero means now, else ask again after that time. */
using PaceHook = std::function<Duration(int64_t bytes)>;

/** What one exchange works with. Everything pointed to outlives it. */
struct ExchangeParts {
  CallerConnection* caller = nullptr;
  RequestParser* request = nullptr;
  TargetConnection* target = nullptr;
  /** The request's body when it was read before; nullptr to stream it. */
  const std::string* held_body = nullptr;
  /** Fields that are set in the request to the target. */
  http::fields extra_fields;
  std::optional<TimePoint> deadline;
  /** Cancel at the target when the caller goes away. */
  bool cancel_with_caller = true;
  PaceHook pace_request;
  PaceHook pace_answer;
};

/** One request to a target and its answer.

    Call Send(), ReadHeader(), and then either ReadHeldBody() and SendHeld(), or
    Relay(). Used on its io_context's thread only. */
class TargetExchange {
 public:
  explicit TargetExchange(ExchangeParts parts);
  ~TargetExchange();
  TargetExchange(const TargetExchange&) = delete;
  TargetExchange& operator=(const TargetExchange&) = delete;

  //==============================================================================
  /** Sends header and body. */
  asio::awaitable<absl::Status> Send();

  /** Reads the answer's header, passing over 1xx answers. */
  asio::awaitable<absl::Status> ReadHeader();

  /** Reads the body while it is at most kHeldBodyBytes.
      @return OK also when the body is longer: see held_whole(). */
  asio::awaitable<absl::Status> ReadHeldBody();

  //==============================================================================
  /** Sends the answer whose whole body is held. */
  asio::awaitable<HandledRequest> SendHeld(bool close_after);

  /** Passes on the answer, what is held of it first. A break on the target's
     side closes the caller's connection, which makes it visible.
      @param whole  receives whether the caller got everything. */
  asio::awaitable<HandledRequest> Relay(bool close_after, bool* whole);

  //==============================================================================
  /** True once a byte may have left for the target. */
  bool dispatched() const { return dispatched_; }

  /** True when the caller went away. */
  bool caller_gone() const;

  /** True when the whole body is held. */
  bool held_whole() const { return held_whole_; }
  const std::string& held() const { return held_; }

  /** Returns the answer's header; valid after ReadHeader(). */
  const ResponseHeader& answer() const { return parser_->get().base(); }

  /** True when the connection to the target may carry another exchange. */
  bool target_reusable() const;

 private:
  class CallerWatch;

  asio::awaitable<absl::Status> SendHeldRequest();
  asio::awaitable<absl::Status> StreamRequest();
  asio::awaitable<ErrorCode> ReadSome(std::string* chunk);
  asio::awaitable<void> Pace(const PaceHook& hook, int64_t bytes);
  asio::awaitable<HandledRequest> SendHeaderOnly(bool close_after);
  void FillRequest(http::fields* fields) const;
  void SetDeadline();
  bool HasBody() const;
  absl::Status Failed(Step step, const ErrorCode& error) const;

  ExchangeParts parts_;
  std::optional<ResponseParser> parser_;
  std::string held_;
  std::string chunk_;
  std::shared_ptr<CallerWatch> watch_;
  bool held_whole_ = false;
  bool dispatched_ = false;
  bool request_sent_ = false;
};

}  // namespace greengage

#endif  // GG_HTTP_TARGET_EXCHANGE_H_
