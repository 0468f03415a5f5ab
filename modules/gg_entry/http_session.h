#ifndef GG_ENTRY_HTTP_SESSION_H_
#define GG_ENTRY_HTTP_SESSION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gg_core/time.h"
#include "gg_fleet/fleet_config.h"
#include "gg_http/http_types.h"

namespace greengage {

class HttpSession;
using HttpSessionPtr = std::shared_ptr<HttpSession>;
using SessionRequest = http::request<http::string_body>;
using SessionResponse = http::response<http::string_body>;

/** Called with a request that was read whole. The answer is given by
    HttpSession::Answer(), at once or later. */
using SessionHandler =
    std::function<void(const HttpSessionPtr& session, SessionRequest request)>;

/** One connection from a caller, with one request at a time on it.

    While a request is handled the connection is read on, so that its end is
   seen at once. Used on its io_context's thread only. */
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  enum class Phase {
    kIdle,
    kReading,
    kHandling,
    kWriting,
    kLingering,
    kClosed
  };

  struct Options {
    SessionHandler handler;
    std::function<TrafficLimits()> limits;
    std::function<void(HttpSession*)> on_closed;
  };

  HttpSession(asio::ip::tcp::socket socket, Options options);

  //==============================================================================
  /** Starts reading. */
  void Start();

  /** Sends the answer to the request being handled.
      @param close  the connection ends after it. */
  void Respond(SessionResponse response, bool close);

  /** Ends the connection without an answer. */
  void Abort();

  /** Sets what is called when the caller leaves before its answer. */
  void SetCallerGoneHook(std::function<void()> hook) {
    on_caller_gone_ = std::move(hook);
  }

  //==============================================================================
  /** Ends what has lasted too long; called every tick. */
  void CheckTimeouts(TimePoint now);

  /** Closes the connection now if it carries no request, else after it. */
  void CloseWhenIdle();

  //==============================================================================
  Phase phase() const { return phase_; }
  bool has_request() const {
    return phase_ == Phase::kHandling || phase_ == Phase::kWriting;
  }

  /** When the first byte of the request being handled arrived. */
  TimePoint request_began_at() const { return request_began_at_; }

  /** Address of the caller, "ip:port". */
  const std::string& peer() const { return peer_; }

 private:
  void Read();
  void OnRead(const ErrorCode& error, size_t count);
  void Parse();
  void OnParsed();
  void OnParseError(const ErrorCode& error);
  void Write(SessionResponse response, bool close);
  void OnWritten(const ErrorCode& error, bool close);
  void RespondAndClose(http::status status);
  void BeginNextRequest();
  void Linger();
  void Close();

  asio::ip::tcp::socket socket_;
  Options options_;
  std::string peer_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::optional<SessionResponse> response_;
  std::function<void()> on_caller_gone_;
  Phase phase_ = Phase::kIdle;
  TimePoint phase_began_at_{};
  TimePoint request_began_at_{};
  TimePoint last_read_at_{};
  bool is_read_pending_ = false;
  bool has_read_error_ = false;
  bool close_when_idle_ = false;
  bool keep_alive_ = true;
  bool is_head_request_ = false;
  bool sent_continue_ = false;
};

}  // namespace greengage

#endif  // GG_ENTRY_HTTP_SESSION_H_
