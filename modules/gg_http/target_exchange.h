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

/** Asks for permission to transfer `bytes`.
    @return zero if they may be transferred now, else the time after which to
            ask again. */
using PacingFunction = std::function<Duration(int64_t bytes)>;

/** Inputs of one exchange. The pointers are not owned, and what they point to
    must outlive the exchange. */
struct ExchangeOptions {
  CallerConnection* caller = nullptr;
  RequestParser* request = nullptr;
  TargetConnection* target = nullptr;
  /** The buffered request body, or nullptr to stream it from the caller. */
  const std::string* buffered_request_body = nullptr;
  /** Header fields to set in the request, in place of the caller's. */
  http::fields extra_fields;
  /** Value of the request's Greengage-Attempt field, or empty for none. */
  std::string attempt_id;
  /** True if other requests were sent over the connection before. The response
      must then repeat `attempt_id`. */
  bool is_reused_connection = false;
  /** Time at which the exchange with the target fails. */
  std::optional<TimePoint> deadline;
  /** True if the exchange is cancelled when the caller closes its
      connection. */
  bool cancels_on_disconnect = true;
  /** Limit the transfer rate of the bodies. Optional. */
  PacingFunction request_pacer;
  PacingFunction response_pacer;
};

/** One request to a target and its response.

    Call SendRequest(), then ReadResponseHeader(), then optionally
    BufferResponseBody(). If is_fully_buffered() then holds, end with
    SendBufferedResponse(), else with RelayResponse().

    Used on its io_context's thread only. */
class TargetExchange {
 public:
  explicit TargetExchange(ExchangeOptions options);
  ~TargetExchange();
  TargetExchange(const TargetExchange&) = delete;
  TargetExchange& operator=(const TargetExchange&) = delete;

  //==============================================================================
  /** Sends the header and the body of the request. */
  asio::awaitable<absl::Status> SendRequest();

  /** Reads the response header; skips 1xx responses.
      @return kUnknown also for a response to an earlier request on a reused
              connection. */
  asio::awaitable<absl::Status> ReadResponseHeader();

  /** Buffers the response body up to kMaxBufferedBodyBytes.
      @return OK also if the body is longer; see is_fully_buffered(). */
  asio::awaitable<absl::Status> BufferResponseBody();

  //==============================================================================
  /** Sends the fully buffered response to the caller.
      @param should_close  close the caller's connection afterwards. */
  asio::awaitable<HandlerResult> SendBufferedResponse(bool should_close);

  /** Streams the response to the caller, starting with what is buffered. If the
      target fails midway, the caller's connection is closed, so that the caller
      can tell that the response is incomplete. For a caller of HTTP/1.0 a
      response without length ends with the connection, which is reset then.
      @param should_close  close the caller's connection afterwards.
      @param is_complete  receives whether the whole response was sent. */
  asio::awaitable<HandlerResult> RelayResponse(bool should_close,
                                               bool* is_complete);

  //==============================================================================
  /** Returns true once a byte may have been sent to the target. */
  bool is_dispatched() const { return is_dispatched_; }

  /** Returns true if the caller has closed its connection. */
  bool has_caller_disconnected() const;

  /** Returns true if the whole response body is buffered. */
  bool is_fully_buffered() const { return is_fully_buffered_; }

  /** Returns the part of the response body that is buffered. */
  const std::string& buffered_body() const { return buffered_body_; }

  /** Returns the response header; valid after ReadResponseHeader(). */
  const ResponseHeader& response() const { return parser_->get().base(); }

  /** Returns true if the response was to an earlier request. It says nothing of
      how the target treats this one. */
  bool has_stale_response() const { return has_stale_response_; }

  /** Returns true if the target connection may carry another exchange: this
      one has succeeded, and the target repeats Greengage-Attempt, so that a
     late response to an earlier request would be noticed. */
  bool is_target_reusable() const;

 private:
  class CallerDisconnectMonitor;

  asio::awaitable<absl::Status> SendBufferedRequest();
  asio::awaitable<absl::Status> StreamRequest();

  /** Takes memory for `bytes` of the response; waits while there is none.
      @return false if the caller was evicted. */
  asio::awaitable<bool> TakeResponseMemory(size_t bytes);

  /** Reads the next part of the response body into `chunk`. */
  asio::awaitable<ErrorCode> ReadBodyChunk(std::string* chunk);

  /** Waits until `pacing` permits the transfer of `bytes`. */
  asio::awaitable<void> WaitForPacing(const PacingFunction& pacing,
                                      int64_t bytes);

  /** Ends a response to the caller that can't be completed. */
  HandlerResult CutResponse(bool ends_with_connection);

  /** Sends a response that has no body. */
  asio::awaitable<HandlerResult> SendResponseHeader(bool should_close);

  void CopyRequestFields(http::fields* fields) const;

  /** Sets the timeout of the target connection's next operations. */
  void ApplyDeadline();

  bool ResponseHasBody() const;

  /** Returns true if the response repeats the request's Greengage-Attempt. */
  bool RepeatsAttemptId() const;

  /** Returns the error of a failed step, with the address of the side that
      failed. */
  absl::Status MakeError(Step step, const ErrorCode& error) const;

  ExchangeOptions options_;
  std::optional<ResponseParser> parser_;
  std::string buffered_body_;
  std::string read_buffer_;
  std::shared_ptr<CallerDisconnectMonitor> disconnect_monitor_;
  bool is_fully_buffered_ = false;
  bool is_dispatched_ = false;
  bool is_request_sent_ = false;
  bool has_response_ = false;  // a final one, which may be used
  bool has_stale_response_ = false;
};

}  // namespace greengage

#endif  // GG_HTTP_TARGET_EXCHANGE_H_
