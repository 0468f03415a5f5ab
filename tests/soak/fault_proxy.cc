#include "soak/fault_proxy.h"

#include <vector>

namespace greengage::soak {
namespace {

constexpr Duration kDelay = std::chrono::milliseconds(120);
constexpr Duration kSilencePoll = std::chrono::milliseconds(20);

}  // namespace

struct FaultProxy::Pair {
  explicit Pair(asio::ip::tcp::socket accepted)
      : client(std::move(accepted)), server(client.get_executor()) {}
  void Reset() {
    ErrorCode ignored;
    client.set_option(asio::socket_base::linger(true, 0), ignored);
    server.set_option(asio::socket_base::linger(true, 0), ignored);
    client.close(ignored);
    server.close(ignored);
  }
  asio::ip::tcp::socket client;
  asio::ip::tcp::socket server;
};

FaultProxy::FaultProxy(const std::string& address, const std::string& backend)
    : backend_(*ParseEndpoint(backend)),
      acceptor_(io_, *ParseEndpoint(address)) {
  asio::co_spawn(io_, Accept(), asio::detached);
  thread_ = std::thread([this] { io_.run(); });
}

FaultProxy::~FaultProxy() {
  io_.stop();
  thread_.join();
}

void FaultProxy::ResetAll() {
  asio::post(io_, [this] {
    for (const std::weak_ptr<Pair>& weak : pairs_) {
      if (const auto pair = weak.lock()) pair->Reset();
    }
    pairs_.clear();
  });
}

asio::awaitable<void> FaultProxy::Accept() {
  for (;;) {
    asio::ip::tcp::socket socket(io_);
    ErrorCode error;
    co_await acceptor_.async_accept(socket, Await(&error));
    if (error) co_return;
    auto pair = std::make_shared<Pair>(std::move(socket));
    if (mode_ == ProxyMode::kRefuse) {
      pair->Reset();
      continue;
    }
    pairs_.remove_if([](const auto& weak) { return weak.expired(); });
    pairs_.push_back(pair);
    asio::co_spawn(io_, Connect(pair), asio::detached);
  }
}

asio::awaitable<void> FaultProxy::Connect(std::shared_ptr<Pair> pair) {
  ErrorCode error;
  co_await pair->server.async_connect(backend_, Await(&error));
  if (error) {
    pair->Reset();
    co_return;
  }
  asio::co_spawn(io_, Pump(pair, true), asio::detached);
  asio::co_spawn(io_, Pump(pair, false), asio::detached);
}

asio::awaitable<void> FaultProxy::Pump(std::shared_ptr<Pair> pair,
                                       bool is_forward) {
  asio::ip::tcp::socket& from = is_forward ? pair->client : pair->server;
  asio::ip::tcp::socket& to = is_forward ? pair->server : pair->client;
  std::vector<char> bytes(16 * 1024);
  for (;;) {
    ErrorCode error;
    const size_t count =
        co_await from.async_read_some(asio::buffer(bytes), Await(&error));
    // What is held back arrives when the fault is over.
    while (mode_ == ProxyMode::kSilent ||
           (mode_ == ProxyMode::kOneWay && !is_forward)) {
      if (!from.is_open()) co_return;
      co_await SleepFor(kSilencePoll);
    }
    if (mode_ == ProxyMode::kDelay) co_await SleepFor(kDelay);
    if (error) break;
    co_await asio::async_write(to, asio::buffer(bytes.data(), count),
                               Await(&error));
    if (error) break;
  }
  ErrorCode ignored;
  to.shutdown(asio::socket_base::shutdown_send, ignored);
  if (is_forward) co_return;
  pair->client.close(ignored);
  pair->server.close(ignored);
}

}  // namespace greengage::soak
