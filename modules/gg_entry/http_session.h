#ifndef GG_ENTRY_HTTP_SESSION_H_
#define GG_ENTRY_HTTP_SESSION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gg_core/time.h"
#include "gg_entry/connection_input.h"
#include "gg_fleet/fleet_config.h"
#include "gg_http/body_blocks.h"
#include "gg_http/http_types.h"
#include "gg_http/memory_eviction.h"

namespace greengage {

class HttpSession;
using HttpSessionPtr = std::shared_ptr<HttpSession>;
using SessionRequest = http::request<BlockBody>;
using SessionResponse = http::response<BlockBody>;

/** Called with a complete request. The handler responds with
    HttpSession::Respond(), at once or later. */
using SessionHandler =
    std::function<void(const HttpSessionPtr& session, SessionRequest request)>;

/** One HTTP connection from a caller, with one request at a time.

    While a request is handled, the session continues to read, so that it
    notices at once when the caller disconnects. May be used on its io_context's
    thread only. */
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  enum class Phase {
    kIdle,       // between requests
    kReading,    // a part of a request has arrived
    kHandling,   // the handler has the request and has not responded yet
    kWriting,    // the response is being written
    kLingering,  // the sending side is closed; input is read and discarded
    kClosed
  };

  struct Options {
    SessionHandler handler;
    std::function<TrafficLimits()> limits;
    std::function<void(HttpSession*)> on_closed;  // called once
    std::function<void()> on_odd_message;  // a request can't be read; optional
    MemoryBudget* memory = nullptr;        // not owned; nullptr: no limit
    std::function<void(EvictionReason)> on_eviction;  // optional
  };

  /** Memory that a connection takes besides its requests and responses. */
  static constexpr size_t kConnectionBytes = size_t{8} * 1024;

  HttpSession(asio::ip::tcp::socket socket, Options options);

  //==============================================================================
  /** Starts reading requests. */
  void Start();

  /** Sends the response to the request being handled. Does nothing when the
      caller has disconnected.
      @param close  whether to close the connection after the response. */
  void Respond(SessionResponse response, bool close);

  /** Closes the connection without a response. */
  void Abort();

  /** Sets a hook that is called when the caller disconnects while its request
      is being handled. */
  void SetCallerGoneHook(std::function<void()> hook) {
    on_caller_gone_ = std::move(hook);
  }

  //==============================================================================
  /** Closes the connection, or responds with status 408, when a time limit has
      passed. Notices callers that disconnected while reading is paused. Called
      every tick. */
  void CheckTimeouts(TimePoint now);

  /** Closes the connection now if it is idle, otherwise after the current
      request. */
  void CloseWhenIdle();

  /** Closes the connection if it is idle and no part of a request has arrived,
      because there are too many. */
  void CloseIfIdle();

  /** Reads on if it was waiting for memory and there is some. */
  void ResumeReading();

  /** Frees the memory held for this caller: refuses its request, which has not
      been passed on, or ends its response. */
  void Evict(EvictionReason reason);

  //==============================================================================
  /** Returns whether the caller has disconnected, also when the input that it
      sent before has not been read yet. */
  bool HasCallerDisconnected();

  Phase phase() const { return phase_; }

  /** Returns whether a request is being handled or its response written. */
  bool has_request() const {
    return phase_ == Phase::kHandling || phase_ == Phase::kWriting;
  }

  /** Time at which the first bytes of the current request arrived, also when
      they were read later. */
  TimePoint request_began_at() const { return request_began_at_; }

  /** Number of bytes that were read ahead of the requests handled so far. */
  size_t buffered_bytes() const { return input_.size(); }

  /** Returns what is held for the caller; nothing while its request is handled
      or no part of one has arrived. */
  std::optional<PeerHolding> Holding(TimePoint now) const;

  bool is_waiting_for_memory() const { return memory_wait_.has_value(); }

  /** Returns whether an idle connection is about to be closed. */
  bool is_being_closed() const { return is_idle_read_cancelled_; }

  /** Time since which the connection has been in its phase. */
  TimePoint phase_began_at() const { return phase_began_at_; }

  /** Address of the caller, "ip:port". */
  const std::string& peer() const { return peer_; }

 private:
  void Read();
  /** Takes the memory for one read, or waits for it.
      @return the number of bytes to read; 0 while there is no memory. */
  size_t TakeReadMemory();
  /** Accounts for the memory that the connection's input takes by now. */
  void RecordMemory();
  void OnRead(const ErrorCode& error, size_t count);
  void Parse();
  void OnParsed();
  void OnParseError(const ErrorCode& error);
  void Write(SessionResponse response, bool close);
  void WriteSome(bool close);
  void OnWritten(const ErrorCode& error, bool close);
  /** @param reason  of a refusal for lack of memory; empty for others */
  void RespondAndClose(http::status status, std::string_view reason = "");
  void BeginNextRequest();
  void Linger();
  void Close();
  /** Closes an idle connection unless a part of a request has arrived. */
  void CloseIfNothingUnread();
  /** Continues after CloseIfNothingUnread(), when the pending read has ended
      without data. */
  void OnIdleReadCancelled();
  /** Closes the connection, and calls the hook if a request was being
      handled. */
  void CloseAndReport();

  asio::ip::tcp::socket socket_;
  Options options_;
  std::string peer_;
  ConnectionInput input_;
  std::optional<BoundedParser<true, BlockBody>> parser_;
  std::optional<SessionResponse> response_;
  std::optional<http::response_serializer<BlockBody>> serializer_;
  MemoryHold connection_hold_;
  MemoryHold header_hold_;
  MemoryHold body_hold_;  // while the body is read; then the body has it
  MemoryHold read_ahead_hold_;
  std::optional<ScopedMemoryWaiter> memory_wait_;
  TimePoint memory_wait_began_at_{};
  TransferProgress progress_;  // of the request that is read, or the response
  std::function<void()> on_caller_gone_;
  Phase phase_ = Phase::kIdle;
  TimePoint phase_began_at_{};
  TimePoint request_began_at_{};
  TimePoint last_read_at_{};
  bool is_read_pending_ = false;
  bool has_read_error_ = false;
  bool close_when_idle_ = false;
  bool is_idle_read_cancelled_ = false;
  bool keep_alive_ = true;
  bool is_head_request_ = false;
  bool sent_continue_ = false;
};

}  // namespace greengage

#endif  // GG_ENTRY_HTTP_SESSION_H_
