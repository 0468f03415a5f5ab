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
using RequestHook = std::function<asio::awaitable<HandledRequest>(
    CallerConnection* caller, RequestParser* request)>;

/** Makes the handler for one thread; called once on each, with its context. */
using HandlerFactory = std::function<RequestHook(asio::io_context* context)>;

/** HTTP server with a fixed number of threads, each with an io_context of its
    own. A connection stays on one thread.

    Start(), the drain calls and Stop() are made from one thread. */
class TrafficServer {
 public:
  struct Options {
    std::string address;  // "ip:port"
    int threads = 1;
    HandlerFactory make_handler;
    Duration header_limit = std::chrono::seconds(10);
    Duration idle_limit = std::chrono::seconds(60);
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
  void CloseIdle();

  /** Ends all threads; open connections are dropped. */
  void Stop();

  //==============================================================================
  /** Returns the number of requests being handled. */
  int64_t active_requests() const { return active_; }

 private:
  struct Worker;

  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(Worker* worker, asio::ip::tcp::socket socket);
  asio::awaitable<void> ServeRequests(Worker* worker, CallerConnection* caller);
  asio::awaitable<bool> WaitForRequest(Worker* worker,
                                       CallerConnection* caller);
  asio::awaitable<void> SweepIdle(Worker* worker);
  void CloseIdleOf(Worker* worker, Duration idle_limit);

  Options options_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::unique_ptr<asio::ip::tcp::acceptor> acceptor_;
  std::atomic<int64_t> active_ = 0;
  std::atomic<bool> closing_ = false;
  size_t next_worker_ = 0;
};

}  // namespace greengage

#endif  // GG_HTTP_TRAFFIC_SERVER_H_
