#include "gg_http/request_dispatcher.h"

#include "absl/strings/str_cat.h"
#include "gg_http/forwarder.h"
#include "gg_http/lookup_handler.h"
#include "gg_http/order_claims.h"
#include "gg_http/order_runner.h"
#include "gg_http/refusal_response.h"
#include "gg_http/target_connection_pool.h"
#include "gg_insight/metrics.h"
#include "gg_store/store_client.h"

namespace greengage {
namespace {

RefusalResponse MakeRoutingRefusal(http::status status, std::string reason,
                                   std::string text) {
  return {.status = status,
          .outcome = Outcome::kNotRun,
          .reason = std::move(reason),
          .text = std::move(text),
          .step = Step::kAdmission};
}

RefusalResponse MakeNoDocumentRefusal() {
  return MakeRoutingRefusal(http::status::service_unavailable, "not_ready",
                            "no document yet; use another host");
}

RefusalResponse MakeUnknownServiceRefusal(std::string_view host) {
  return MakeRoutingRefusal(
      http::status::not_found, "unknown_service",
      absl::StrCat("no service has the Host '", std::string(host), "'"));
}

RefusalResponse MakeNoRouteRefusal(std::string_view service) {
  return MakeRoutingRefusal(
      http::status::not_found, "no_route",
      absl::StrCat("service '", std::string(service),
                   "' has no route for this method and path"));
}

}  // namespace

/** Objects that serve the requests of one thread. */
struct RequestDispatcher::Components {
  Components(asio::io_context* context, const Options& options)
      : target_pool({}),
        store_client(context, {.addresses = options.store_addresses}),
        order_claims({.store = &store_client,
                      .prefix = options.claim_key_prefix,
                      .self = options.self,
                      .traffic_address = options.traffic_address,
                      .started_at = options.started_at}),
        forwarder({.steering = options.steering,
                   .metrics = options.metrics,
                   .pool = &target_pool,
                   .is_draining = options.is_draining}),
        order_runner({.steering = options.steering,
                      .forwarder = &forwarder,
                      .claims = &order_claims}),
        lookup_handler({.steering = options.steering,
                        .is_draining = options.is_draining}) {}

  TargetConnectionPool target_pool;
  StoreClient store_client;
  OrderClaims order_claims;
  Forwarder forwarder;
  OrderRunner order_runner;
  LookupHandler lookup_handler;
};

RequestDispatcher::RequestDispatcher(asio::io_context* context, Options options)
    : options_(std::move(options)),
      components_(std::make_unique<Components>(context, options_)) {}

RequestDispatcher::~RequestDispatcher() = default;

asio::awaitable<HandlerResult> RequestDispatcher::Handle(
    CallerConnection* caller, RequestParser* request) {
  const std::string_view target = FromBeast(request->get().target());
  if (target.substr(0, target.find('?')) == "/.greengage/lookup") {
    options_.metrics->IncrementCounter("greengage_lookups_total", "");
    return components_->lookup_handler.Handle(caller, *request);
  }
  return RouteRequest(caller, request);
}

asio::awaitable<HandlerResult> RequestDispatcher::RouteRequest(
    CallerConnection* caller, RequestParser* request) {
  ForwardJob job;
  job.caller = caller;
  job.request = request;
  job.document = options_.steering->document();
  if (job.document == nullptr) {
    co_return co_await SendRefusal(caller, *request, MakeNoDocumentRefusal());
  }
  const std::string_view host = FromBeast(request->get()[http::field::host]);
  job.service = job.document->FindServiceByHost(host);
  if (job.service == nullptr) {
    co_return co_await SendRefusal(caller, *request,
                                   MakeUnknownServiceRefusal(host));
  }
  job.route = FindRoute(*job.service, FromBeast(request->get().method_string()),
                        FromBeast(request->get().target()));
  if (job.route == nullptr) {
    co_return co_await SendRefusal(caller, *request,
                                   MakeNoRouteRefusal(job.service->name));
  }
  const std::string requested_home(
      FromBeast(request->get()[ToBeast(kHomeRegionField)]));
  const bool is_home_known =
      job.document->FindRegion(requested_home) != nullptr;
  job.home_region =
      is_home_known
          ? requested_home
          : std::string(job.document->HomeRegion(
                caller->client_ipv4, options_.steering->options().region));
  if (!job.route->is_idempotent) {
    co_return co_await components_->order_runner.Run(std::move(job));
  }
  const ForwardResult result =
      co_await components_->forwarder.Forward(std::move(job));
  co_return result.handler_result;
}

}  // namespace greengage
