#include "soak/fault_proxy.h"

#include <vector>

namespace greengage::soak {
namespace {

constexpr Duration kDelay = std::chrono::milliseconds(120);
constexpr Duration kStallPollInterval = std::chrono::milliseconds(20);

}  // namespace

struct FaultProxy::ProxiedConnection {
  explicit ProxiedConnection(asio::ip::tcp::socket accepted)
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
  asio::co_spawn(io_, AcceptConnections(), asio::detached);
  thread_ = std::thread([this] { io_.run(); });
}

FaultProxy::~FaultProxy() {
  io_.stop();
  thread_.join();
}

void FaultProxy::ResetAll() {
  asio::post(io_, [this] {
    for (const std::weak_ptr<ProxiedConnection>& weak : connections_) {
      if (const auto connection = weak.lock()) connection->Reset();
    }
    connections_.clear();
  });
}

asio::awaitable<void> FaultProxy::AcceptConnections() {
  for (;;) {
    asio::ip::tcp::socket socket(io_);
    ErrorCode error;
    co_await acceptor_.async_accept(socket, Await(&error));
    if (error) co_return;
    auto connection = std::make_shared<ProxiedConnection>(std::move(socket));
    if (mode_ == ProxyMode::kRefuse) {
      connection->Reset();
      continue;
    }
    connections_.remove_if([](const auto& weak) { return weak.expired(); });
    connections_.push_back(connection);
    asio::co_spawn(io_, ConnectToBackend(connection), asio::detached);
  }
}

asio::awaitable<void> FaultProxy::ConnectToBackend(
    std::shared_ptr<ProxiedConnection> connection) {
  ErrorCode error;
  co_await connection->server.async_connect(backend_, Await(&error));
  if (error) {
    connection->Reset();
    co_return;
  }
  asio::co_spawn(io_, Forward(connection, true), asio::detached);
  asio::co_spawn(io_, Forward(connection, false), asio::detached);
}

asio::awaitable<void> FaultProxy::Forward(
    std::shared_ptr<ProxiedConnection> connection, bool is_to_backend) {
  asio::ip::tcp::socket& from =
      is_to_backend ? connection->client : connection->server;
  asio::ip::tcp::socket& to =
      is_to_backend ? connection->server : connection->client;
  std::vector<char> bytes(16 * 1024);
  for (;;) {
    ErrorCode error;
    const size_t count =
        co_await from.async_read_some(asio::buffer(bytes), Await(&error));
    // Stalled data is delivered when the mode changes.
    while (mode_ == ProxyMode::kStall ||
           (mode_ == ProxyMode::kStallResponses && !is_to_backend)) {
      if (!from.is_open()) co_return;
      co_await SleepFor(kStallPollInterval);
    }
    if (mode_ == ProxyMode::kDelay) co_await SleepFor(kDelay);
    if (error) break;
    co_await asio::async_write(to, asio::buffer(bytes.data(), count),
                               Await(&error));
    if (error) break;
  }
  ErrorCode ignored;
  to.shutdown(asio::socket_base::shutdown_send, ignored);
  if (is_to_backend) co_return;
  connection->client.close(ignored);
  connection->server.close(ignored);
}

}  // namespace greengage::soak
