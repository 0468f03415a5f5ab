#ifndef GG_ENTRY_HTTP_LISTENER_H_
#define GG_ENTRY_HTTP_LISTENER_H_

#include <string>
#include <unordered_map>

#include "absl/status/status.h"
#include "gg_entry/http_session.h"

namespace greengage {

/** Accepts HTTP connections at one address and owns their sessions. May be used
    on its io_context's thread only. */
class HttpListener {
 public:
  struct Options {
    std::string address;  // "ip:port"
    SessionHandler handler;
    std::function<TrafficLimits()> limits;
    size_t max_sessions = 1000;  // further connections are closed at once
    std::function<void()> on_odd_message;  // see HttpSession::Options
    MemoryBudget* memory = nullptr;        // see HttpSession::Options
    /** Closes an idle connection of the process when a new one exceeds the
        limit of `memory`; returns whether there was one. */
    std::function<bool()> make_room;
    std::function<void(EvictionReason)> on_eviction;  // optional
  };

  HttpListener(asio::io_context* context, Options options);

  //==============================================================================
  /** Binds the address and starts accepting. An error names the address. */
  absl::Status Start();

  /** Applies the time limits of all sessions, and evicts some while memory is
      short. Called every tick. */
  void CheckTimeouts(TimePoint now);

  /** Closes the connection that has been idle for the longest time.
      @return false if none is idle. */
  bool CloseLongestIdle();

  /** Accepts the connections that callers have opened so far, and no more.
      Existing ones stay open. */
  void StopAccepting();

  /** Closes idle connections now and every other one after its request. */
  void CloseIdle();

  //==============================================================================
  /** Returns the number of requests that are being handled or whose response is
      being written. */
  size_t ActiveRequests() const;

  /** Returns the number of connections that are not closed. After CloseIdle(),
      each of them has a request that arrives, lies unread or is handled, or a
      response that is on its way. */
  size_t OpenConnections() const { return sessions_.size(); }

 private:
  void Accept();
  /** Lets waiting sessions read on, the oldest request first, and evicts others
      while memory is short. */
  void RelieveMemory(TimePoint now);
  void AddSession(asio::ip::tcp::socket socket);

  asio::io_context* context_;  // not owned
  Options options_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_retry_timer_;
  std::unordered_map<HttpSession*, HttpSessionPtr> sessions_;
  bool is_closing_ = false;
};

}  // namespace greengage

#endif  // GG_ENTRY_HTTP_LISTENER_H_
