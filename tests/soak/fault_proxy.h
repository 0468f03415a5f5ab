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

/** What a proxy does with the connections through it. */
enum class ProxyMode { kPass, kDelay, kSilent, kOneWay, kRefuse };

inline constexpr EnumNames<ProxyMode, 5> kProxyModeNames{
    {"pass", "delay", "silent", "one_way", "refuse"}};

/** Passes connections on to one address and harms them on demand. Has a thread
   of its own; the methods may be called from any thread. */
class FaultProxy {
 public:
  FaultProxy(const std::string& address, const std::string& backend);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  void SetMode(ProxyMode mode) { mode_ = mode; }

  /** Resets all open connections. */
  void ResetAll();

 private:
  struct Pair;

  asio::awaitable<void> Accept();
  asio::awaitable<void> Connect(std::shared_ptr<Pair> pair);
  asio::awaitable<void> Pump(std::shared_ptr<Pair> pair, bool is_forward);

  asio::io_context io_{1};
  asio::ip::tcp::endpoint backend_;
  asio::ip::tcp::acceptor acceptor_;
  std::list<std::weak_ptr<Pair>> pairs_;
  std::atomic<ProxyMode> mode_ = ProxyMode::kPass;
  std::thread thread_;
};

}  // namespace greengage::soak

#endif  // TESTS_SOAK_FAULT_PROXY_H_
