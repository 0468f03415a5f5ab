#ifndef GG_HTTP_ORDER_RUNNER_H_
#define GG_HTTP_ORDER_RUNNER_H_

#include <string>

#include "gg_http/forwarder.h"
#include "gg_http/order_claims.h"
#include "gg_steering/order_key.h"

namespace greengage {

/** Runs non-idempotent requests at most once per idempotency key.

    An issued key names the one process that may run it; that process's memory
   is the record, and every other daemon passes the request on to it. A key of
   the caller's own is claimed in the platform's store first. Without a key a
   request is run once for each time it is sent, if its route allows that.

    Used on its io_context's thread only. */
class OrderRunner {
 public:
  struct Options {
    Steering* steering = nullptr;    // not owned
    Forwarder* forwarder = nullptr;  // not owned
    OrderClaims* claims = nullptr;   // not owned
    /** Time a repeat waits for the first request to finish. */
    Duration max_repeat_wait = std::chrono::seconds(10);
  };

  explicit OrderRunner(Options options) : options_(std::move(options)) {}

  /** Runs one request and answers the caller in every case. */
  asio::awaitable<HandlerResult> Run(ForwardJob job);

 private:
  asio::awaitable<HandlerResult> RunWithIssuedKey(ForwardJob job, OrderKey key);
  asio::awaitable<HandlerResult> RunWithCallerKey(ForwardJob job,
                                                  std::string order);
  asio::awaitable<HandlerResult> RunAndRecord(ForwardJob job, std::string order,
                                              uint64_t claim_revision);
  asio::awaitable<OrderBegin> WaitToBegin(std::string order,
                                          OrderAnswer* answer);
  asio::awaitable<HandlerResult> RespondToRepeat(ForwardJob job,
                                                 OrderBegin begin,
                                                 OrderAnswer answer);

  Options options_;
};

}  // namespace greengage

#endif  // GG_HTTP_ORDER_RUNNER_H_
