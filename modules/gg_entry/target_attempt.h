#ifndef GG_ENTRY_TARGET_ATTEMPT_H_
#define GG_ENTRY_TARGET_ATTEMPT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gg_entry/pooled_connection.h"
#include "gg_request/attempt_policy.h"

namespace greengage {

using TargetRequest = http::request<http::string_body>;
using TargetResponse = http::response<http::string_body>;

/** How an attempt ended: with a whole answer, or with a fault. */
struct AttemptOutcome {
  std::optional<TargetResponse> response;
  AttemptFault fault = AttemptFault::kNotSent;  // when there is no answer
  std::string reason;                           // of the fault
  bool is_connection_refused = false;  // the target's address is closed
  /** The connection, when it may carry another exchange. */
  PooledConnectionPtr reusable_connection;
};

/** Sends one request to one target and reads the whole answer.

    Writing and reading go on at the same time, so that an answer that comes
    before a long body is out is seen; the rest of the body is then not sent and
    the connection not used again. Used on its io_context's thread only. */
class TargetAttempt : public std::enable_shared_from_this<TargetAttempt> {
 public:
  struct Options {
    asio::io_context* context = nullptr;  // not owned
    asio::ip::tcp::endpoint endpoint;
    PooledConnectionPtr pooled_connection;  // nullptr: a new connection is made
    std::shared_ptr<const TargetRequest> request;
    Duration connect_timeout{};
    std::function<void(AttemptOutcome outcome)> on_done;  // called once
  };

  explicit TargetAttempt(Options options);

  //==============================================================================
  void Start();

  /** Drops the connection; on_done is not called any more. */
  void Cancel();

  /** True once a byte of the request may have left. */
  bool is_sent() const { return is_sent_; }

  /** True when the connection was used before. */
  bool uses_pooled_connection() const { return uses_pooled_connection_; }

 private:
  void Send();
  void Read();
  void OnRead(const ErrorCode& error);
  void Fail(AttemptFault fault, const std::string& reason,
            bool is_connection_refused = false);
  void Finish(AttemptOutcome outcome);

  Options options_;
  asio::steady_timer connect_timer_;
  PooledConnectionPtr connection_;
  std::optional<http::response_parser<http::string_body>> parser_;
  bool uses_pooled_connection_ = false;
  bool is_sent_ = false;
  bool is_request_written_ = false;
  bool is_done_ = false;
};

}  // namespace greengage

#endif  // GG_ENTRY_TARGET_ATTEMPT_H_
