#ifndef GG_HTTP_REQUEST_DISPATCHER_H_
#define GG_HTTP_REQUEST_DISPATCHER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gg_core/host_id.h"
#include "gg_http/traffic_server.h"
#include "gg_steering/steering.h"

namespace greengage {

class Metrics;

/** Dispatches the requests of one thread to the LookupHandler, the OrderRunner
    or the Forwarder. Owns these and the thread's connection pool and store
    client. Used on one thread only. */
class RequestDispatcher {
 public:
  struct Options {
    Steering* steering = nullptr;  // not owned
    Metrics* metrics = nullptr;    // not owned
    std::vector<std::string> store_addresses;
    std::string claim_key_prefix;  // of the keys of order claims in the store
    HostId self;
    std::string traffic_address;
    TimePoint started_at{};
    /** Returns true while the process shuts down. Called on traffic threads. */
    std::function<bool()> is_draining;
  };

  RequestDispatcher(asio::io_context* context, Options options);
  ~RequestDispatcher();
  RequestDispatcher(const RequestDispatcher&) = delete;
  RequestDispatcher& operator=(const RequestDispatcher&) = delete;

  /** Handles one request. The caller always receives a response or a refusal,
      unless its connection is lost. */
  asio::awaitable<HandlerResult> Handle(CallerConnection* caller,
                                        RequestParser* request);

 private:
  struct Components;

  asio::awaitable<HandlerResult> RouteRequest(CallerConnection* caller,
                                              RequestParser* request);

  Options options_;
  std::unique_ptr<Components> components_;
};

}  // namespace greengage

#endif  // GG_HTTP_REQUEST_DISPATCHER_H_
