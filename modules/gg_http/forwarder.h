#ifndef GG_HTTP_FORWARDER_H_
#define GG_HTTP_FORWARDER_H_

#include <functional>
#include <optional>
#include <string>

#include "gg_document/document.h"
#include "gg_http/caller_connection.h"
#include "gg_http/http_types.h"
#include "gg_http/refusal_response.h"
#include "gg_http/target_connection_pool.h"
#include "gg_steering/order_ledger.h"
#include "gg_steering/steering.h"

namespace greengage {

class Metrics;
class TargetExchange;

/** One request to forward. The pointers are not owned, and what they point to
    must outlive the call to the Forwarder. */
struct ForwardJob {
  CallerConnection* caller = nullptr;
  RequestParser* request = nullptr;
  DocumentPtr document;
  const ServiceSpec* service = nullptr;
  const RouteSpec* route = nullptr;
  std::string home_region;
  /** Request body, when Forwarder::ReadBody() has buffered it. */
  std::optional<std::string> body;
  /** True if the exchange with the target is completed even when the caller
      closes its connection. */
  bool continues_after_disconnect = false;
  /** Called with the target's answer before it is sent to the caller.
      Optional. */
  std::function<asio::awaitable<void>(const OrderAnswer& answer)> on_response;
};

/** Whether a target ran the request. */
enum class ForwardOutcome {
  kNotRun,    // no target ran it
  kAnswered,  // a target ran it and answered
  kUnknown,   // a target may have run it
};

/** Result of forwarding one request. */
struct ForwardResult {
  HandlerResult handler_result;
  ForwardOutcome outcome = ForwardOutcome::kUnknown;
};

/** Forwards requests to targets, with retries where they are safe.

    A retry is safe if no byte of the request has been sent, if the target
    refused the request and reported that it was not run, or if the request is
    idempotent. Once a part of the request has been sent, a retry also needs the
    body to be buffered. The retry budget limits all retries.

    Used on its io_context's thread only. */
class Forwarder {
 public:
  struct Options {
    Steering* steering = nullptr;          // not owned
    Metrics* metrics = nullptr;            // not owned
    TargetConnectionPool* pool = nullptr;  // not owned
    /** Returns true while the process shuts down; connections of callers are
        then closed after their response. */
    std::function<bool()> is_draining;
    /** Attempts per request, the first one included. */
    int max_attempts = 3;
  };

  explicit Forwarder(Options options) : options_(std::move(options)) {}

  //==============================================================================
  /** Forwards one request. The caller always receives a response or a refusal,
      unless its connection is lost. */
  asio::awaitable<ForwardResult> Forward(ForwardJob job);

  /** Forwards a request to the daemon whose traffic address is `address` and
      relays its response. */
  asio::awaitable<ForwardResult> ForwardToPeer(ForwardJob job,
                                               std::string address);

  /** Reads the body into `job->body` if its length is known and at most
      kMaxBufferedBodyBytes; a request without a body gets an empty one. Any
      other body stays unread, unless it is longer than the route allows.
      @param handler_result  receives the result when this returns false.
      @return false if the body was refused and the caller has received the
              refusal. */
  asio::awaitable<bool> ReadBody(ForwardJob* job,
                                 HandlerResult* handler_result);

 private:
  struct RequestState;

  /** Whether the request is finished or another attempt follows. */
  enum class AttemptOutcome { kDone, kRetry };

  /** Admits, connects and exchanges once. */
  asio::awaitable<AttemptOutcome> RunAttempt(const ForwardJob& job,
                                             RequestState* state);

  /** Ends a request that has not been sent to a target, or not again, because
      its caller has disconnected. */
  AttemptOutcome AbandonRequest(const ForwardJob& job, RequestState* state);

  /** Sends the request and decides between response, refusal and retry. */
  asio::awaitable<AttemptOutcome> ExchangeWithTarget(const ForwardJob& job,
                                                     RequestState* state,
                                                     TargetExchange* exchange);
  asio::awaitable<void> SendResponse(const ForwardJob& job, RequestState* state,
                                     TargetExchange* exchange);
  asio::awaitable<void> RefuseRequest(const ForwardJob& job,
                                      RequestState* state,
                                      RefusalResponse refusal);
  static RefusalResponse MakeConnectFailedRefusal(const RequestState& state);

  /** Reports the attempt's result to Steering, which ends the admission. */
  void FinishAttempt(const ForwardJob& job, RequestState* state,
                     AttemptResult result);

  Options options_;
  uint64_t last_attempt_id_ = 0;
};

}  // namespace greengage

#endif  // GG_HTTP_FORWARDER_H_
