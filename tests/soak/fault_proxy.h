#ifndef TESTS_SOAK_FAULT_PROXY_H_
#define TESTS_SOAK_FAULT_PROXY_H_

#include <atomic>
#include <list>
#include <memory>
#include <string>
#include <thread>

#include "gg_core/enum_names.h"
#include "standins/http_server.h"

namespace greengage::soak {

/** How a proxy treats the connections that pass through it.
    - kPass: forwards without a fault.
    - kDelay: delays each chunk of data.
    - kStall: holds back the data of both directions while the mode is set.
    - kStallResponses: holds back only the data from the backend.
    - kRefuse: resets new connections. */
enum class ProxyMode { kPass, kDelay, kStall, kStallResponses, kRefuse };

inline constexpr EnumNames<ProxyMode, 5> kProxyModeNames{
    {"pass", "delay", "stall", "stall_responses", "refuse"}};

/** TCP proxy to one backend that injects faults into its connections. It runs
    on a thread of its own; the methods may be called from any thread. */
class FaultProxy {
 public:
  /** Listens on `address` and forwards to `backend`, both "ip:port". Throws if
      the address cannot be bound. */
  FaultProxy(const std::string& address, const std::string& backend);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  /** Sets the mode for all connections, including open ones. */
  void SetMode(ProxyMode mode) { mode_ = mode; }

  /** Resets all open connections. */
  void ResetAll();

 private:
  struct ProxiedConnection;

  asio::awaitable<void> AcceptConnections();
  asio::awaitable<void> ConnectToBackend(
      std::shared_ptr<ProxiedConnection> connection);
  asio::awaitable<void> Forward(std::shared_ptr<ProxiedConnection> connection,
                                bool is_to_backend);

  asio::io_context io_{1};
  asio::ip::tcp::endpoint backend_;
  asio::ip::tcp::acceptor acceptor_;
  std::list<std::weak_ptr<ProxiedConnection>> connections_;
  std::atomic<ProxyMode> mode_ = ProxyMode::kPass;
  std::thread thread_;
};

}  // namespace greengage::soak

#endif  // TESTS_SOAK_FAULT_PROXY_H_
