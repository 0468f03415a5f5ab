#ifndef GG_ENTRY_HTTP_LISTENER_H_
#define GG_ENTRY_HTTP_LISTENER_H_

#include <string>
#include <unordered_map>

#include "absl/status/status.h"
#include "gg_entry/http_session.h"

namespace greengage {

/** Accepts connections at one address and keeps their sessions. Used on its
    io_context's thread only. */
class HttpListener {
 public:
  struct Options {
    std::string address;  // "ip:port"
    SessionHandler handler;
    std::function<TrafficLimits()> limits;
    size_t max_sessions = 1000;
  };

  HttpListener(asio::io_context* context, Options options);

  //==============================================================================
  /** Binds and accepts; an error names the address. */
  absl::Status Start();

  /** Ends what has lasted too long; called every tick. */
  void CheckTimeouts(TimePoint now);

  /** Stops accepting. */
  void StopAccepting();

  /** Closes idle connections now and each other one after its request. */
  void CloseIdle();

  //==============================================================================
  /** Returns the number of requests being handled or answered. */
  size_t ActiveRequests() const;

 private:
  void Accept();

  asio::io_context* context_;  // not owned
  Options options_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_retry_timer_;
  std::unordered_map<HttpSession*, HttpSessionPtr> sessions_;
  bool is_closing_ = false;
};

}  // namespace greengage

#endif  // GG_ENTRY_HTTP_LISTENER_H_
