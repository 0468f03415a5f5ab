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

/** Handles one request, of which the header has been read. */
using RequestHandler = std::function<asio::awaitable<HandlerResult>(
    CallerConnection* caller, RequestParser* request)>;

/** Creates the request handler of one thread. Start() calls it once for each
    thread, with the thread's io_context, before the thread runs. */
using HandlerFactory = std::function<RequestHandler(asio::io_context* context)>;

/** HTTP server with a fixed number of threads, each of which runs its own
    io_context. A connection stays on one thread.

    Start(), StopAccepting(), CloseIdleConnections() and Stop() must be called
    from one thread; active_requests() and is_drained() may be called from any
    thread. */
class TrafficServer {
 public:
  struct Options {
    std::string address;  // "ip:port"
    int threads = 1;
    HandlerFactory make_handler;
    /** Time within which a request header must arrive after its first byte. */
    Duration header_timeout = std::chrono::seconds(10);
    /** Time without a request after which a connection is closed. */
    Duration idle_timeout = std::chrono::seconds(60);
    /** Limits what is held for callers. Not owned; nullptr: no limit. */
    MemoryBudget* memory = nullptr;
    /** Called for each caller that is evicted, on any thread. Optional. */
    std::function<void(EvictionReason)> on_eviction;
  };

  explicit TrafficServer(Options options);
  ~TrafficServer();
  TrafficServer(const TrafficServer&) = delete;
  TrafficServer& operator=(const TrafficServer&) = delete;

  //==============================================================================
  /** Binds the address and starts the threads.
      @return an error that names the address if it cannot be bound. */
  absl::Status Start();

  /** Accepts the connections that callers have opened so far, and no more. */
  void StopAccepting();

  /** Closes all connections without a request in progress, and from then on
      every other connection after its request. */
  void CloseIdleConnections();

  /** Stops all threads and drops open connections. */
  void Stop();

  //==============================================================================
  /** Returns the number of requests in progress. */
  int64_t active_requests() const { return active_requests_; }

  /** Returns true once no connection is accepted any more and none is open on
      which a request may have arrived. */
  bool is_drained() const {
    return has_stopped_accepting_ && open_connections_ == 0;
  }

 private:
  struct Worker;

  asio::awaitable<void> AcceptConnections();
  Worker* NextWorker();
  void AddConnection(Worker* worker, asio::ip::tcp::socket socket);
  asio::awaitable<void> ServeConnection(Worker* worker,
                                        asio::ip::tcp::socket socket);
  asio::awaitable<void> ServeRequests(Worker* worker, CallerConnection* caller);

  /** Waits until bytes of the next request can be read.
      @return false if the connection is to be closed. */
  asio::awaitable<bool> WaitForRequest(Worker* worker,
                                       CallerConnection* caller);

  /** Reads the header of a request as far as there is memory for it. */
  asio::awaitable<ErrorCode> ReadRequestHeader(CallerConnection* caller,
                                               RequestParser* request);

  asio::awaitable<void> CloseIdleConnectionsPeriodically(Worker* worker);

  /** Evicts callers while memory is short. */
  void RelieveMemory(Worker* worker);

  /** Closes the connection that has been idle for the longest time. */
  void CloseLongestIdle(Worker* worker);

  /** Ends the transfer of a caller. */
  static void Evict(CallerConnection* caller, EvictionReason reason);
  void ReportEviction(const CallerConnection& caller,
                      EvictionReason reason) const;

  /** Closes connections that have been idle for at least `idle_timeout`. */
  void CloseConnectionsIdleFor(Worker* worker, Duration idle_timeout);

  Options options_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::unique_ptr<asio::ip::tcp::acceptor> acceptor_;
  std::atomic<int64_t> active_requests_ = 0;
  std::atomic<int64_t> open_connections_ = 0;
  std::atomic<bool> has_stopped_accepting_ = false;
  std::atomic<bool> is_closing_ = false;
  size_t next_worker_ = 0;
};

}  // namespace greengage

#endif  // GG_HTTP_TRAFFIC_SERVER_H_
