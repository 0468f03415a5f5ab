#include "gg_http/traffic_server.h"

#include <set>

#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"
#include "gg_http/refusal_response.h"
#include "gg_insight/event_log.h"
#include "gg_store/message_parsing.h"

namespace greengage {
namespace {

constexpr Duration kIdleCheckInterval = std::chrono::seconds(1);
constexpr Duration kMemoryCheckInterval = std::chrono::milliseconds(100);

/** Memory that a connection takes besides its requests and responses: its
    coroutines, its socket and small buffers. */
constexpr size_t kConnectionBytes = size_t{16} * 1024;

/** Connections beyond the limit for which idle ones are being closed. */
constexpr size_t kMaxExcessConnections = 64;

/** Bytes of a header for which memory is taken at a time, and by how much the
    parsed fields take more than their text. */
constexpr size_t kHeaderStepBytes = 1024;
constexpr size_t kHeaderCostFactor = 2;
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

/** Limits of reading from a connection after its last response was sent. */
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
constexpr size_t kMaxLingerBytes = 4 * 1024 * 1024;
/** Many connections may end at the same time, so each takes little memory. */
constexpr size_t kLingerReadBytes = 4 * 1024;

TimePoint Now() { return std::chrono::steady_clock::now(); }

/** Logs the exception that ended a connection's coroutine. */
void LogException(const std::exception_ptr& exception) {
  try {
    std::rethrow_exception(exception);
  } catch (const std::exception& error) {
    LogEvent(LogLevel::kError, Event::kInternalError, error.what());
  } catch (...) {
    LogEvent(LogLevel::kError, Event::kInternalError, "unknown exception");
  }
}

/** Counts a request as active for the lifetime of this object. */
class ScopedRequestCount {
 public:
  explicit ScopedRequestCount(std::atomic<int64_t>* count) : count_(count) {
    ++*count_;
  }
  ~ScopedRequestCount() { --*count_; }
  ScopedRequestCount(const ScopedRequestCount&) = delete;
  ScopedRequestCount& operator=(const ScopedRequestCount&) = delete;

 private:
  std::atomic<int64_t>* count_;
};

/** Shuts down sending and reads until the caller closes too. Closing a socket
    that has unread bytes would reset the connection, and the caller could lose
    the last response. */
asio::awaitable<void> ShutDownAndDrain(CallerConnection* caller) {
  ErrorCode error;
  caller->stream.socket().shutdown(asio::socket_base::shutdown_send, error);
  std::string discarded(kLingerReadBytes, '\0');
  size_t total = 0;
  caller->stream.expires_after(kLingerTimeout);
  while (!error && total < kMaxLingerBytes) {
    total += co_await caller->stream.async_read_some(asio::buffer(discarded),
                                                     Await(&error));
  }
}

RefusalResponse MakeHeaderRefusal(const ErrorCode& error,
                                  const std::string& peer) {
  RefusalResponse refusal{.status = http::status::bad_request,
                          .outcome = Outcome::kNotRun,
                          .reason = "bad_request",
                          .text = error.message(),
                          .step = Step::kHeaderRead,
                          .peer = peer};
  if (error == http::error::header_limit) {
    refusal.status = http::status::request_header_fields_too_large;
    refusal.reason = "header_too_long";
  }
  return refusal;
}

}  // namespace

/** One thread with its io_context and its connections. */
struct TrafficServer::Worker {
  asio::io_context context{1};
  std::thread thread;
  RequestHandler handler;
  std::set<CallerConnection*> connections;  // used on `thread` only
};

TrafficServer::TrafficServer(Options options) : options_(std::move(options)) {}

TrafficServer::~TrafficServer() { Stop(); }

absl::Status TrafficServer::Start() {
  const auto endpoint = ParseEndpoint(options_.address);
  if (!endpoint) {
    return StepError(absl::StatusCode::kInvalidArgument, Step::kSettings,
                     options_.address, "not an address; write ip:port");
  }
  for (int i = 0; i < options_.threads; ++i) {
    workers_.push_back(std::make_unique<Worker>());
  }
  ErrorCode error;
  acceptor_ = std::make_unique<asio::ip::tcp::acceptor>(workers_[0]->context);
  acceptor_->open(endpoint->protocol(), error);
  acceptor_->set_option(asio::socket_base::reuse_address(true), error);
  acceptor_->bind(*endpoint, error);
  if (!error) {
    acceptor_->listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return StepError(absl::StatusCode::kUnavailable, Step::kSettings,
                     options_.address,
                     absl::StrCat("cannot listen: ", error.message()));
  }
  asio::co_spawn(workers_[0]->context, AcceptConnections(), asio::detached);
  for (const auto& worker : workers_) {
    Worker* w = worker.get();
    w->handler = options_.make_handler(&w->context);
    asio::co_spawn(w->context, CloseIdleConnectionsPeriodically(w),
                   asio::detached);
    w->thread = std::thread([w] { w->context.run(); });
  }
  return absl::OkStatus();
}

void TrafficServer::StopAccepting() {
  if (workers_.empty()) return;
  asio::post(workers_[0]->context, [this] {
    // Closing the acceptor resets the connections that wait in its queue, with
    // the requests that callers have sent over them.
    ErrorCode error;
    acceptor_->non_blocking(true, error);
    while (!error) {
      Worker* worker = NextWorker();
      asio::ip::tcp::socket socket(worker->context);
      acceptor_->accept(socket, error);
      if (!error) AddConnection(worker, std::move(socket));
    }
    acceptor_->close(error);
    has_stopped_accepting_ = true;
  });
}

void TrafficServer::CloseIdleConnections() {
  is_closing_ = true;
  for (const auto& worker : workers_) {
    asio::post(worker->context, [this, w = worker.get()] {
      CloseConnectionsIdleFor(w, Duration::zero());
    });
  }
}

void TrafficServer::Stop() {
  for (const auto& worker : workers_) worker->context.stop();
  for (const auto& worker : workers_) {
    if (worker->thread.joinable()) worker->thread.join();
  }
}

asio::awaitable<void> TrafficServer::AcceptConnections() {
  while (acceptor_->is_open()) {
    Worker* worker = NextWorker();
    asio::ip::tcp::socket socket(worker->context);
    ErrorCode error;
    co_await acceptor_->async_accept(socket, Await(&error));
    if (error) {
      if (!acceptor_->is_open()) co_return;
      co_await SleepFor(kAcceptRetryDelay);
      continue;
    }
    AddConnection(worker, std::move(socket));
  }
}

TrafficServer::Worker* TrafficServer::NextWorker() {
  return workers_[next_worker_++ % workers_.size()].get();
}

void TrafficServer::AddConnection(Worker* worker,
                                  asio::ip::tcp::socket socket) {
  MemoryBudget* memory = options_.memory;
  if (memory != nullptr && !memory->TryAddConnection()) {
    for (const auto& other : workers_) {
      asio::post(other->context,
                 [this, w = other.get()] { CloseLongestIdle(w); });
    }
    const size_t limit = memory->options().max_connections;
    if (memory->connections() >= limit + kMaxExcessConnections) return;
    memory->AddConnection();
  }
  ++open_connections_;
  asio::co_spawn(worker->context, ServeConnection(worker, std::move(socket)),
                 [this](std::exception_ptr exception) {
                   --open_connections_;
                   if (options_.memory != nullptr) {
                     options_.memory->RemoveConnection();
                   }
                   if (exception) LogException(exception);
                 });
}

asio::awaitable<void> TrafficServer::ServeConnection(
    Worker* worker, asio::ip::tcp::socket socket) {
  ErrorCode error;
  const auto remote = socket.remote_endpoint(error);
  if (error) co_return;
  socket.set_option(asio::ip::tcp::no_delay(true), error);
  CallerConnection caller(std::move(socket), options_.memory);
  caller.memory.connection.Set(kConnectionBytes);
  caller.memory.on_evicted = [this, &caller](EvictionReason reason) {
    ReportEviction(caller, reason);
  };
  caller.address =
      absl::StrCat(remote.address().to_string(), ":", remote.port());
  if (remote.address().is_v4()) {
    caller.client_ipv4 = remote.address().to_v4().to_uint();
  }
  worker->connections.insert(&caller);
  co_await ServeRequests(worker, &caller);
  worker->connections.erase(&caller);
  co_await ShutDownAndDrain(&caller);
}

asio::awaitable<void> TrafficServer::ServeRequests(Worker* worker,
                                                   CallerConnection* caller) {
  while (co_await WaitForRequest(worker, caller)) {
    const ScopedRequestCount active(&active_requests_);
    RequestParser request;
    request.header_limit(kMaxRequestHeaderBytes);
    request.body_limit(kUnlimitedBody);
    ErrorCode error;
    caller->stream.expires_after(options_.header_timeout);
    error = co_await ReadRequestHeader(caller, &request);
    if (error == http::error::end_of_stream || error == beast::error::timeout ||
        error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      co_await SendRefusal(caller, request,
                           MakeHeaderRefusal(error, caller->address));
      co_return;
    }
    caller->stream.expires_never();
    const HandlerResult handler_result =
        co_await worker->handler(caller, &request);
    caller->memory.EndTransfer();
    caller->memory.header.Release();
    caller->memory.body.Release();
    caller->memory.response.Release();
    if (!handler_result.keep_alive || is_closing_ || caller->memory.evicted) {
      co_return;
    }
  }
}

asio::awaitable<ErrorCode> TrafficServer::ReadRequestHeader(
    CallerConnection* caller, RequestParser* request) {
  CallerMemory& memory = caller->memory;
  memory.request_began_at = Now();
  memory.BeginTransfer(PeerActivity::kReceiving, memory.request_began_at);
  request->eager(false);
  ErrorCode error;
  while (!request->is_header_done()) {
    size_t used = 0;
    error = http::error::need_more;
    if (caller->buffer.size() > 0) {
      error = ParseOnce(&caller->buffer, request, &used);
    }
    memory.header.Set(kHeaderCostFactor * request->header_bytes() +
                      caller->buffer.capacity());
    if (!error && used > 0) continue;
    if (error && error != http::error::need_more) break;
    if (!co_await TakeCallerMemory(&memory, &memory.header, kHeaderStepBytes)) {
      error = asio::error::operation_aborted;
      break;
    }
    const size_t size = beast::read_size(caller->buffer, kMaxReadBytes);
    error = size == 0 ? http::error::buffer_overflow : ErrorCode();
    if (error) break;
    const size_t count = co_await caller->stream.async_read_some(
        caller->buffer.prepare(size), Await(&error));
    caller->buffer.commit(count);
    memory.progress.Record(count, Now());
    if (error == asio::error::eof) {
      error = ParseEndOfStream(caller->stream.socket(), request);
    }
    if (error) break;
  }
  memory.EndTransfer();
  if (memory.evicted) error = asio::error::operation_aborted;
  co_return error;
}

asio::awaitable<bool> TrafficServer::WaitForRequest(Worker* /*worker*/,
                                                    CallerConnection* caller) {
  if (caller->buffer.size() > 0) co_return true;
  caller->buffer.shrink_to_fit();
  caller->is_idle = true;
  caller->idle_since = Now();
  ErrorCode error;
  co_await caller->stream.socket().async_wait(asio::socket_base::wait_read,
                                              Await(&error));
  caller->is_idle = false;
  co_return !error;
}

asio::awaitable<void> TrafficServer::CloseIdleConnectionsPeriodically(
    Worker* worker) {
  TimePoint next_check = Now() + kIdleCheckInterval;
  for (;;) {
    co_await SleepFor(kMemoryCheckInterval);
    RelieveMemory(worker);
    if (Now() < next_check) continue;
    next_check = Now() + kIdleCheckInterval;
    CloseConnectionsIdleFor(
        worker, is_closing_ ? Duration::zero() : options_.idle_timeout);
  }
}

void TrafficServer::RelieveMemory(Worker* worker) {
  if (options_.memory == nullptr || !options_.memory->IsShort()) return;
  const TimePoint now = Now();
  std::vector<CallerConnection*> callers;
  std::vector<PeerHolding> holdings;
  for (CallerConnection* caller : worker->connections) {
    const CallerMemory& memory = caller->memory;
    if (!memory.activity || memory.evicted) continue;
    callers.push_back(caller);
    holdings.push_back({.activity = *memory.activity,
                        .bytes = memory.held_bytes(),
                        .request_began_at = memory.request_began_at,
                        .waits_since = memory.waits_since,
                        .is_too_slow = memory.progress.IsTooSlow(now)});
  }
  for (const Eviction& eviction :
       ChooseEvictions(holdings, options_.memory->BytesToFree(), now)) {
    Evict(callers[eviction.index], eviction.reason);
  }
}

void TrafficServer::Evict(CallerConnection* caller, EvictionReason reason) {
  CallerMemory& memory = caller->memory;
  memory.MarkEvicted(reason);
  // A waiting caller notices it when it asks for memory again.
  if (memory.activity == PeerActivity::kWaiting) return;
  if (memory.cancel_target) memory.cancel_target();
  caller->stream.cancel();
}

void TrafficServer::ReportEviction(const CallerConnection& caller,
                                   EvictionReason reason) const {
  LogEvent(LogLevel::kWarning, Event::kPeerEvicted,
           absl::StrCat("peer=", caller.address, " reason=",
                        std::string(kEvictionReasonNames.Name(reason)),
                        " bytes=", caller.memory.held_bytes()));
  if (options_.on_eviction) options_.on_eviction(reason);
}

void TrafficServer::CloseLongestIdle(Worker* worker) {
  CallerConnection* longest = nullptr;
  for (CallerConnection* caller : worker->connections) {
    if (!caller->is_idle || !IsOpenAndIdle(caller->stream.socket())) continue;
    if (longest == nullptr || caller->idle_since < longest->idle_since) {
      longest = caller;
    }
  }
  if (longest == nullptr) return;
  longest->is_idle = false;  // not chosen again
  if (options_.on_eviction) options_.on_eviction(EvictionReason::kIdle);
  ErrorCode ignored;
  longest->stream.socket().cancel(ignored);
}

void TrafficServer::CloseConnectionsIdleFor(Worker* worker,
                                            Duration idle_timeout) {
  for (CallerConnection* caller : worker->connections) {
    if (!caller->is_idle || Now() - caller->idle_since < idle_timeout) continue;
    // A request that lies unread is read next, and then answered.
    if (!IsOpenAndIdle(caller->stream.socket())) continue;
    ErrorCode ignored;
    caller->stream.socket().cancel(ignored);
  }
}

}  // namespace greengage
