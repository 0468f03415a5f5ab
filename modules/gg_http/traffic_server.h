#ifndef GG_HTTP_TRAFFIC_SERVER_H_
#define GG_HTTP_TRAFFIC_SERVER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/status/status.h"
#include "gg_http/caller_connection.h"
#include "gg_http/http_types.h"

namespace greengage {

/** Handles one request whose header has been read. */
using RequestHandler = std::function<asio::awaitable<HandlerResult>(
    CallerConnection* caller, RequestParser* request)>;

/** Makes the handler for one thread; called once on each, with its context. */
using HandlerFactory = std::function<RequestHandler(asio::io_context* context)>;

/** HTTP server with a fixed number of threads, each with an io_context of its
    own. A connection stays on one thread.

    Start(), the drain calls and Stop() are made from one thread. */
class TrafficServer {
 public:
  struct Options {
    std::string address;  // "ip:port"
    int threads = 1;
    HandlerFactory make_handler;
    Duration header_timeout = std::chrono::seconds(10);
    Duration idle_timeout = std::chrono::seconds(60);
  };

  explicit TrafficServer(Options options);
  ~TrafficServer();
  TrafficServer(const TrafficServer&) = delete;
  TrafficServer& operator=(const TrafficServer&) = delete;

  //==============================================================================
  /** Binds and starts the threads; an error names the address. */
  absl::Status Start();

  /** Stops accepting connections. */
  void StopAccepting();

  /** Closes connections that carry no request now, and from now on each one
      after its request. */
  void CloseIdleConnections();

  /** Ends all threads; open connections are dropped. */
  void Stop();

  //==============================================================================
  /** Returns the number of requests being handled. */
  int64_t active_requests() const { return active_requests_; }

 private:
  struct Worker;

  asio::awaitable<void> AcceptConnections();
  asio::awaitable<void> ServeConnection(Worker* worker,
                                        asio::ip::tcp::socket socket);
  asio::awaitable<void> ServeRequests(Worker* worker, CallerConnection* caller);
  asio::awaitable<bool> WaitForRequest(Worker* worker,
                                       CallerConnection* caller);
  asio::awaitable<void> CloseIdleConnectionsPeriodically(Worker* worker);
  void CloseConnectionsIdleFor(Worker* worker, Duration idle_timeout);

  Options options_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::unique_ptr<asio::ip::tcp::acceptor> acceptor_;
  std::atomic<int64_t> active_requests_ = 0;
  std::atomic<bool> is_closing_ = false;
  size_t next_worker_ = 0;
};

}  // namespace greengage

#endif  // GG_HTTP_TRAFFIC_SERVER_H_
