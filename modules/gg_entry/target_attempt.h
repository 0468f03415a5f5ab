#ifndef GG_ENTRY_TARGET_ATTEMPT_H_
#define GG_ENTRY_TARGET_ATTEMPT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gg_entry/pooled_connection.h"
#include "gg_http/body_blocks.h"
#include "gg_request/attempt_policy.h"
#include "gg_store/response_parser.h"

namespace greengage {

using TargetRequest = http::request<BlockBody>;
using TargetResponse = http::response<BlockBody>;

/** Result of an attempt: a complete response, or a fault. */
struct AttemptOutcome {
  std::optional<TargetResponse> response;
  AttemptFault fault = AttemptFault::kNotSent;  // when there is no response
  std::string reason;                           // of the fault
  bool is_connection_refused = false;   // no process listens at the address
  bool is_odd_message = false;          // what the target sent can't be read
  bool used_pooled_connection = false;  // other requests were sent there before
  /** The connection, when it can be reused for another request. */
  PooledConnectionPtr reusable_connection;
};

/** Sends one request to one target and reads the complete response.

    The request is written and the response read concurrently, so that a
    response is noticed that arrives before a long request body has been sent.
    The rest of the body is then not sent, and the connection is not reused. May
    be used on its io_context's thread only. */
class TargetAttempt : public std::enable_shared_from_this<TargetAttempt> {
 public:
  struct Options {
    asio::io_context* context = nullptr;  // not owned
    asio::ip::tcp::endpoint endpoint;
    PooledConnectionPtr pooled_connection;  // nullptr: opens a new connection
    /** Returns the request, or nullptr when it must not be sent any more.
        Called once, when the connection is open. After nullptr the attempt ends
        without a call of `on_done`. */
    std::function<std::shared_ptr<const TargetRequest>()> make_request;
    Duration connect_timeout{};
    /** Limits the responses that are held at the same time. Not owned. */
    MemoryBudget* memory = nullptr;
    std::function<void(AttemptOutcome outcome)> on_done;  // called once
  };

  explicit TargetAttempt(Options options);

  //==============================================================================
  /** Connects if necessary and sends the request. */
  void Start();

  /** Closes the connection; `on_done` is not called afterwards. */
  void Cancel();

  /** True once a part of the request may have been sent. */
  bool is_sent() const { return is_sent_; }

  /** True when the connection came from the pool. */
  bool uses_pooled_connection() const { return uses_pooled_connection_; }

 private:
  void Send();
  void BeginResponse();
  void ReadSome();
  void OnReadSome(const ErrorCode& error, size_t count);
  /** Continues after bytes were parsed.
      @param error  http::error::need_more if the response isn't complete. */
  void OnParsed(const ErrorCode& error);
  void OnResponse();
  /** Takes the bytes by which the response has grown from the budget. */
  bool TakeResponseBytes();
  void Fail(AttemptFault fault, const std::string& reason,
            bool is_connection_refused = false);
  /** Fails the attempt because of what the target has sent. */
  void FailOddMessage(const std::string& reason);
  void Finish(AttemptOutcome outcome);

  Options options_;
  std::shared_ptr<const TargetRequest> request_;  // set when it is sent
  asio::steady_timer connect_timer_;
  PooledConnectionPtr connection_;
  std::optional<CheckedResponseParser<BlockBody>> parser_;
  int interim_response_count_ = 0;
  MemoryHold response_hold_;
  bool uses_pooled_connection_ = false;
  bool is_sent_ = false;
  bool is_request_written_ = false;
  bool is_done_ = false;
};

}  // namespace greengage

#endif  // GG_ENTRY_TARGET_ATTEMPT_H_
