#include "gg_http/request_dispatcher.h"

#include "absl/strings/str_cat.h"
#include "gg_http/forwarder.h"
#include "gg_http/lookup_handler.h"
#include "gg_http/order_claims.h"
#include "gg_http/order_runner.h"
#include "gg_http/refusal_answer.h"
#include "gg_http/target_pool.h"
#include "gg_insight/metrics.h"
#include "gg_store/store_client.h"

namespace greengage {
namespace {

RefusalAnswer Unroutable(http::status status, std::string reason,
                         std::string text) {
  return {.status = status,
          .outcome = Outcome::kNotRun,
          .reason = std::move(reason),
          .text = std::move(text),
          .step = Step::kAdmission};
}

RefusalAnswer NoDocument() {
  return Unroutable(http::status::service_unavailable, "not_ready",
                    "no document yet; use another host");
}

RefusalAnswer NoService(std::string_view host) {
  return Unroutable(
      http::status::not_found, "unknown_service",
      absl::StrCat("no service has the Host '", std::string(host), "'"));
}

RefusalAnswer NoRoute(std::string_view service) {
  return Unroutable(http::status::not_found, "no_route",
                    absl::StrCat("service '", std::string(service),
                                 "' has no route for this method and path"));
}

}  // namespace

/** What one thread works with. */
struct RequestDispatcher::Parts {
  Parts(asio::io_context* context, const Options& options)
      : pool({}),
        store(context, {.addresses = options.store_addresses}),
        claims({.store = &store,
                .prefix = options.order_prefix,
                .self = options.self,
                .traffic_address = options.traffic_address,
                .started_at = options.started_at}),
        forwarder({.steering = options.steering,
                   .metrics = options.metrics,
                   .pool = &pool,
                   .is_draining = options.is_draining}),
        orders({.steering = options.steering,
                .forwarder = &forwarder,
                .claims = &claims}),
        lookups({.steering = options.steering,
                 .is_draining = options.is_draining}) {}

  TargetPool pool;
  StoreClient store;
  OrderClaims claims;
  Forwarder forwarder;
  OrderRunner orders;
  LookupHandler lookups;
};

RequestDispatcher::RequestDispatcher(asio::io_context* context, Options options)
    : options_(std::move(options)),
      parts_(std::make_unique<Parts>(context, options_)) {}

RequestDispatcher::~RequestDispatcher() = default;

asio::awaitable<HandledRequest> RequestDispatcher::Handle(
    CallerConnection* caller, RequestParser* request) {
  const std::string_view target = FromBeast(request->get().target());
  if (target.substr(0, target.find('?')) == "/.greengage/lookup") {
    options_.metrics->IncrementCounter("greengage_lookups_total", "");
    return parts_->lookups.Handle(caller, *request);
  }
  return Forward(caller, request);
}

asio::awaitable<HandledRequest> RequestDispatcher::Forward(
    CallerConnection* caller, RequestParser* request) {
  ForwardJob job;
  job.caller = caller;
  job.request = request;
  job.document = options_.steering->document();
  if (job.document == nullptr) {
    co_return co_await SendRefusal(caller, *request, NoDocument());
  }
  const std::string_view host = FromBeast(request->get()[http::field::host]);
  job.service = job.document->FindServiceByHost(host);
  if (job.service == nullptr) {
    co_return co_await SendRefusal(caller, *request, NoService(host));
  }
  job.route = FindRoute(*job.service, FromBeast(request->get().method_string()),
                        FromBeast(request->get().target()));
  if (job.route == nullptr) {
    co_return co_await SendRefusal(caller, *request,
                                   NoRoute(job.service->name));
  }
  const std::string passed_home(FromBeast(request->get()[ToBeast(kHomeField)]));
  const bool is_home_known = job.document->FindRegion(passed_home) != nullptr;
  job.home_region =
      is_home_known ? passed_home
                    : std::string(job.document->HomeRegion(
                          caller->client, options_.steering->options().region));
  if (!job.route->is_idempotent) {
    co_return co_await parts_->orders.Run(std::move(job));
  }
  const ForwardResult result =
      co_await parts_->forwarder.Forward(std::move(job));
  co_return result.handled;
}

}  // namespace greengage
