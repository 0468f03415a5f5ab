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

/** One request to be forwarded. Everything pointed to outlives the call. */
struct ForwardJob {
  CallerConnection* caller = nullptr;
  RequestParser* request = nullptr;
  DocumentPtr document;
  const ServiceSpec* service = nullptr;
  const RouteSpec* route = nullptr;
  std::string home_region;
  /** Body read before, see Forwarder::ReadBody(). */
  std::optional<std::string> body;
  /** The exchange goes on to its end when the caller goes away. */
  bool continues_after_disconnect = false;
  /** Called with the answer before the caller gets it. Optional. */
  std::function<asio::awaitable<void>(const OrderAnswer& answer)> on_response;
};

/** What became of the request at the targets. */
enum class ForwardOutcome { kNotRun, kAnswered, kUnknown };

/** Result of forwarding. */
struct ForwardResult {
  HandlerResult handler_result;
  ForwardOutcome outcome = ForwardOutcome::kUnknown;
};

/** Forwards requests to targets, with retries where they are safe.

    Safe are: any request of which no byte has left, one that a target refused
    saying it was not run, and idempotent ones, as long as the body is held and
   the retry budget allows. Used on its io_context's thread only. */
class Forwarder {
 public:
  struct Options {
    Steering* steering = nullptr;          // not owned
    Metrics* metrics = nullptr;            // not owned
    TargetConnectionPool* pool = nullptr;  // not owned
    std::function<bool()> is_draining;
    int max_attempts = 3;
  };

  explicit Forwarder(Options options) : options_(std::move(options)) {}

  //==============================================================================
  /** Forwards one request and answers the caller in every case. */
  asio::awaitable<ForwardResult> Forward(ForwardJob job);

  /** Passes a request on to the daemon at the traffic address `address` and
      relays its answer. */
  asio::awaitable<ForwardResult> ForwardToPeer(ForwardJob job,
                                               std::string address);

  /** Reads the body into `job->body` if it is short enough to hold.
      @return false when the caller was answered with a refusal instead; the
              result is in `handled`. */
  asio::awaitable<bool> ReadBody(ForwardJob* job,
                                 HandlerResult* handler_result);

 private:
  struct RequestState;
  enum class AttemptOutcome { kDone, kRetry };

  asio::awaitable<AttemptOutcome> RunAttempt(const ForwardJob& job,
                                             RequestState* state);
  asio::awaitable<AttemptOutcome> ExchangeWithTarget(const ForwardJob& job,
                                                     RequestState* state,
                                                     TargetExchange* exchange);
  asio::awaitable<void> SendResponse(const ForwardJob& job, RequestState* state,
                                     TargetExchange* exchange);
  asio::awaitable<void> RefuseRequest(const ForwardJob& job,
                                      RequestState* state,
                                      RefusalResponse refusal);
  static RefusalResponse MakeConnectFailedRefusal(const RequestState& state);
  void FinishAttempt(const ForwardJob& job, RequestState* state,
                     AttemptResult result);

  Options options_;
};

}  // namespace greengage

#endif  // GG_HTTP_FORWARDER_H_
