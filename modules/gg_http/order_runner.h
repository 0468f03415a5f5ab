#ifndef GG_HTTP_ORDER_RUNNER_H_
#define GG_HTTP_ORDER_RUNNER_H_

#include <string>

#include "gg_http/forwarder.h"
#include "gg_http/order_claims.h"
#include "gg_steering/order_key.h"

namespace greengage {

/** Runs non-idempotent requests at most once per idempotency key.

    An issued key names the one process that may run the order. That process
    keeps the record in memory; all other daemons forward the request to it. An
    order whose key the caller chose is first claimed in the platform's store. A
    request without a key runs each time it is sent, if its route allows that.

    Used on its io_context's thread only. */
class OrderRunner {
 public:
  struct Options {
    Steering* steering = nullptr;    // not owned
    Forwarder* forwarder = nullptr;  // not owned
    OrderClaims* claims = nullptr;   // not owned
    /** Longest time that a repeated request waits for the first one to
        finish. */
    Duration max_repeat_wait = std::chrono::seconds(10);
  };

  explicit OrderRunner(Options options) : options_(std::move(options)) {}

  /** Runs one request. The caller always receives a response or a refusal,
      unless its connection is lost. */
  asio::awaitable<HandlerResult> Run(ForwardJob job);

 private:
  /** Runs an order whose key a daemon has issued, here or at that daemon. */
  asio::awaitable<HandlerResult> RunWithIssuedKey(ForwardJob job, OrderKey key);

  /** Runs an order whose key the caller chose, once it is claimed. */
  asio::awaitable<HandlerResult> RunWithCallerKey(ForwardJob job,
                                                  std::string order);

  /** Forwards an order and records its outcome.
      @param claim_revision  of the claim in the store; 0 without one. */
  asio::awaitable<HandlerResult> RunAndRecord(ForwardJob job, std::string order,
                                              uint64_t claim_revision);

  /** Begins the order in the ledger; waits while an earlier request runs it. */
  asio::awaitable<BeginResult> WaitToBegin(std::string order,
                                           OrderAnswer* answer);

  /** Responds to a request whose order was not begun. */
  asio::awaitable<HandlerResult> RespondToRepeat(ForwardJob job,
                                                 BeginResult begin,
                                                 OrderAnswer answer);

  Options options_;
};

}  // namespace greengage

#endif  // GG_HTTP_ORDER_RUNNER_H_
