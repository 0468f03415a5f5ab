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
#include "gg_http/target_connection_pool.h"

namespace greengage {

/** Asks to move `bytes`; zero means now, else ask again after that time. */
using PacingFunction = std::function<Duration(int64_t bytes)>;

/** What one exchange works with. Everything pointed to outlives it. */
struct ExchangeOptions {
  CallerConnection* caller = nullptr;
  RequestParser* request = nullptr;
  TargetConnection* target = nullptr;
  /** The request's body when it was read before; nullptr to stream it. */
  const std::string* buffered_request_body = nullptr;
  /** Fields that are set in the request to the target. */
  http::fields extra_fields;
  std::optional<TimePoint> deadline;
  /** Cancel at the target when the caller goes away. */
  bool cancels_on_disconnect = true;
  PacingFunction request_pacer;
  PacingFunction response_pacer;
};

/** One request to a target and its answer.

    Call Send(), ReadResponseHeader(), and then either BufferResponseBody() and
   SendBufferedResponse(), or Relay(). Used on its io_context's thread only. */
class TargetExchange {
 public:
  explicit TargetExchange(ExchangeOptions options);
  ~TargetExchange();
  TargetExchange(const TargetExchange&) = delete;
  TargetExchange& operator=(const TargetExchange&) = delete;

  //==============================================================================
  /** Sends header and body. */
  asio::awaitable<absl::Status> SendRequest();

  /** Reads the answer's header, passing over 1xx answers. */
  asio::awaitable<absl::Status> ReadResponseHeader();

  /** Reads the body while it is at most kMaxBufferedBodyBytes.
      @return OK also when the body is longer: see is_fully_buffered(). */
  asio::awaitable<absl::Status> BufferResponseBody();

  //==============================================================================
  /** Sends the answer whose whole body is held. */
  asio::awaitable<HandlerResult> SendBufferedResponse(bool should_close);

  /** Passes on the answer, what is held of it first. A break on the target's
     side closes the caller's connection, which makes it visible.
      @param whole  receives whether the caller got everything. */
  asio::awaitable<HandlerResult> RelayResponse(bool should_close,
                                               bool* is_complete);

  //==============================================================================
  /** True once a byte may have left for the target. */
  bool is_dispatched() const { return is_dispatched_; }

  /** True when the caller went away. */
  bool has_caller_disconnected() const;

  /** True when the whole body is held. */
  bool is_fully_buffered() const { return is_fully_buffered_; }
  const std::string& buffered_body() const { return buffered_body_; }

  /** Returns the answer's header; valid after ReadResponseHeader(). */
  const ResponseHeader& response() const { return parser_->get().base(); }

  /** True when the connection to the target may carry another exchange. */
  bool is_target_reusable() const;

 private:
  class CallerDisconnectMonitor;

  asio::awaitable<absl::Status> SendBufferedRequest();
  asio::awaitable<absl::Status> StreamRequest();
  asio::awaitable<ErrorCode> ReadBodyChunk(std::string* chunk);
  asio::awaitable<void> WaitForPacing(const PacingFunction& pacing,
                                      int64_t bytes);
  asio::awaitable<HandlerResult> SendResponseHeader(bool should_close);
  void CopyRequestFields(http::fields* fields) const;
  void ApplyDeadline();
  bool ResponseHasBody() const;
  absl::Status MakeError(Step step, const ErrorCode& error) const;

  ExchangeOptions options_;
  std::optional<ResponseParser> parser_;
  std::string buffered_body_;
  std::string read_buffer_;
  std::shared_ptr<CallerDisconnectMonitor> disconnect_monitor_;
  bool is_fully_buffered_ = false;
  bool is_dispatched_ = false;
  bool is_request_sent_ = false;
};

}  // namespace greengage

#endif  // GG_HTTP_TARGET_EXCHANGE_H_
