#include "gg_entry/http_session.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"
#include "gg_insight/event_log.h"
#include "gg_store/message_parsing.h"

namespace greengage {
namespace {

TimePoint Now() { return std::chrono::steady_clock::now(); }

/** Bytes of the next request that are buffered while one is handled. Reading
    stops at this limit. */
constexpr size_t kMaxReadAheadBytes = 64 * 1024;

/** How long a connection is still read after its last response. Closing it with
    unread bytes would reset it, and the caller could lose the response. */
constexpr Duration kLingerTime = std::chrono::seconds(1);

/** Time limit for writing a response to a caller. */
constexpr Duration kWriteTimeout = std::chrono::seconds(30);

/** Bytes that one read takes: while no part of a request has arrived, and of a
    request's body. Most requests fit into the first. */
constexpr size_t kFirstReadBytes = 4 * 1024;
constexpr size_t kBodyReadBytes = 16 * 1024;

/** A parsed header takes its text and the parser's index of its fields. */
constexpr size_t kHeaderCostFactor = 2;

/** Longest that a request waits for memory without being read on. */
constexpr Duration kMaxMemoryWait = std::chrono::seconds(5);

/** Pause that a caller is told when its request was refused for lack of
    memory. */
constexpr const char kMemoryRetryAfter[] = "1";

}  // namespace

HttpSession::HttpSession(asio::ip::tcp::socket socket, Options options)
    : socket_(std::move(socket)),
      options_(std::move(options)),
      connection_hold_(options_.memory, MemoryClass::kConnection),
      header_hold_(options_.memory, MemoryClass::kRequestHeader),
      body_hold_(options_.memory, MemoryClass::kRequestBody),
      read_ahead_hold_(options_.memory, MemoryClass::kReadAhead) {
  connection_hold_.Set(kConnectionBytes);
}

void HttpSession::Start() {
  ErrorCode error;
  const auto remote = socket_.remote_endpoint(error);
  if (!error) {
    peer_ = absl::StrCat(remote.address().to_string(), ":", remote.port());
  }
  socket_.set_option(asio::ip::tcp::no_delay(true), error);
  BeginNextRequest();
}

void HttpSession::BeginNextRequest() {
  phase_ = Phase::kIdle;
  phase_began_at_ = Now();
  on_caller_gone_ = nullptr;
  serializer_.reset();
  response_.reset();
  header_hold_.Release();
  body_hold_ = MemoryHold(options_.memory, MemoryClass::kRequestBody);
  input_.FreeUnused();
  RecordMemory();
  sent_continue_ = false;
  const TrafficLimits limits = options_.limits();
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(limits.max_header_bytes);
  parser_->body_limit(limits.max_body_bytes);
  if (input_.size() > 0) {
    phase_ = Phase::kReading;
    request_began_at_ = last_read_at_ = Now();
    progress_.Restart(last_read_at_);
    Parse();
  } else {
    Read();
  }
}

void HttpSession::Read() {
  if (is_read_pending_ || phase_ == Phase::kClosed) return;
  const size_t size = TakeReadMemory();
  if (size == 0) return;
  is_read_pending_ = true;
  socket_.async_read_some(
      input_.read_area(size),
      [self = shared_from_this()](const ErrorCode& error, size_t count) {
        self->OnRead(error, count);
      });
}

size_t HttpSession::TakeReadMemory() {
  const bool is_first = phase_ == Phase::kIdle || phase_ == Phase::kLingering;
  if (is_first) return kFirstReadBytes;
  const size_t held = connection_hold_.bytes() + header_hold_.bytes() +
                      body_hold_.bytes() + read_ahead_hold_.bytes();
  if (phase_ != Phase::kReading) {
    // Without memory for read-ahead, the caller's next request waits.
    const MemoryDecision decision =
        read_ahead_hold_.Grow(kFirstReadBytes, held - read_ahead_hold_.bytes());
    return decision == MemoryDecision::kGranted ? kFirstReadBytes : 0;
  }
  const bool is_body = parser_->is_header_done();
  const size_t size = is_body ? kBodyReadBytes : kFirstReadBytes;
  MemoryHold& hold = is_body ? body_hold_ : header_hold_;
  if (hold.Grow(size, held - hold.bytes()) == MemoryDecision::kGranted) {
    if (memory_wait_) {
      memory_wait_.reset();
      last_read_at_ = Now();
      progress_.Restart(last_read_at_);
    }
    return size;
  }
  if (!memory_wait_) {
    memory_wait_.emplace(options_.memory);
    memory_wait_began_at_ = Now();
    input_.FreeReadArea();
  }
  return 0;
}

void HttpSession::RecordMemory() {
  if (options_.memory == nullptr) return;
  read_ahead_hold_.Set(input_.allocated_bytes());
  if (phase_ != Phase::kReading) return;
  header_hold_.Set(kHeaderCostFactor * parser_->header_bytes());
  body_hold_.Set(parser_->get().body().allocated_bytes());
}

void HttpSession::OnRead(const ErrorCode& error, size_t count) {
  is_read_pending_ = false;
  if (phase_ == Phase::kClosed) return;
  const bool was_cancelled = std::exchange(is_idle_read_cancelled_, false);
  if (was_cancelled && error == asio::error::operation_aborted) {
    OnIdleReadCancelled();
    return;
  }
  if (error) {
    has_read_error_ = true;
    if (phase_ == Phase::kWriting) return;  // OnWritten() follows
    CloseAndReport();
    return;
  }
  if (phase_ == Phase::kLingering) {
    Read();
    return;
  }
  input_.Append(count);
  last_read_at_ = Now();
  progress_.Record(count, last_read_at_);
  if (phase_ == Phase::kIdle) {
    phase_ = Phase::kReading;
    phase_began_at_ = last_read_at_;
    progress_.Restart(last_read_at_);
    request_began_at_ = last_read_at_ - TimeSinceLastReceived(socket_);
  }
  if (phase_ == Phase::kReading) {
    Parse();
    return;
  }
  RecordMemory();
  if (input_.size() < kMaxReadAheadBytes) Read();
}

void HttpSession::Parse() {
  const ErrorCode error = ParseBuffered(&input_.unparsed(), &*parser_);
  RecordMemory();
  if (error && error != http::error::need_more) {
    OnParseError(error);
    return;
  }
  if (parser_->is_done()) {
    OnParsed();
    return;
  }
  const bool wants_continue =
      parser_->is_header_done() && !sent_continue_ &&
      beast::iequals(parser_->get()[http::field::expect], "100-continue");
  if (wants_continue) {
    sent_continue_ = true;
    static const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    // The message fits into the send buffer, which is empty here.
    asio::async_write(socket_, asio::buffer(kContinue),
                      [self = shared_from_this()](const ErrorCode&, size_t) {});
  }
  const size_t max_unparsed_bytes =
      std::max<size_t>(kMaxUnparsedBytes, options_.limits().max_header_bytes);
  if (input_.size() > max_unparsed_bytes) {
    RespondAndClose(http::status::bad_request);
    return;
  }
  Read();
}

void HttpSession::OnParsed() {
  phase_ = Phase::kHandling;
  phase_began_at_ = Now();
  keep_alive_ = parser_->keep_alive();
  SessionRequest request = parser_->release();
  request.body().KeepHold(std::move(body_hold_));
  is_head_request_ = request.method() == http::verb::head;
  if (input_.size() < kMaxReadAheadBytes) Read();
  options_.handler(shared_from_this(), std::move(request));
}

void HttpSession::OnParseError(const ErrorCode& error) {
  const Step step =
      parser_->is_header_done() ? Step::kBodyRead : Step::kHeaderRead;
  LogEvent(LogLevel::kWarning, Event::kMessageRefused,
           absl::StrCat("side=caller peer=", peer_,
                        " step=", std::string(kStepNames.Name(step)),
                        " reason=\"", error.message(), "\""));
  if (options_.on_odd_message) options_.on_odd_message();
  http::status status = http::status::bad_request;
  if (error == http::error::header_limit) {
    status = http::status::request_header_fields_too_large;
  } else if (error == http::error::body_limit) {
    status = http::status::payload_too_large;
  }
  RespondAndClose(status);
}

void HttpSession::RespondAndClose(http::status status,
                                  std::string_view reason) {
  // The request is not read on, so that its memory can be freed.
  parser_.reset();
  memory_wait_.reset();
  body_hold_.Release();
  header_hold_.Release();
  input_.Clear();
  SessionResponse response(status, 11);
  if (!reason.empty()) {
    response.set(http::field::retry_after, kMemoryRetryAfter);
    response.set(http::field::content_type, "text/plain");
    response.body() = absl::StrCat(std::string(reason), "\n");
  }
  response.prepare_payload();
  Write(std::move(response), true);
}

void HttpSession::Respond(SessionResponse response, bool close) {
  if (phase_ != Phase::kHandling) return;  // the caller has disconnected
  Write(std::move(response), close);
}

void HttpSession::Write(SessionResponse response, bool close) {
  phase_ = Phase::kWriting;
  phase_began_at_ = Now();
  on_caller_gone_ = nullptr;
  const bool close_after = close || close_when_idle_ || !keep_alive_;
  response_ = std::move(response);
  response_->keep_alive(!close_after);
  serializer_.emplace(*response_);
  progress_.Restart(phase_began_at_);
  if (!is_head_request_) {
    WriteSome(close_after);
    return;
  }
  // The response to HEAD states the length of a body that isn't sent.
  http::async_write_header(
      socket_, *serializer_,
      [self = shared_from_this(), close_after](const ErrorCode& error, size_t) {
        self->OnWritten(error, close_after);
      });
}

void HttpSession::WriteSome(bool close) {
  http::async_write_some(
      socket_, *serializer_,
      [self = shared_from_this(), close](const ErrorCode& error, size_t count) {
        if (self->phase_ == Phase::kClosed) return;
        self->progress_.Record(count, Now());
        if (error || self->serializer_->is_done()) {
          self->OnWritten(error, close);
        } else {
          self->WriteSome(close);
        }
      });
}

void HttpSession::OnWritten(const ErrorCode& error, bool close) {
  if (phase_ == Phase::kClosed) return;
  if (error || has_read_error_) {
    Close();
  } else if (close || close_when_idle_) {
    Linger();
  } else {
    BeginNextRequest();
  }
}

void HttpSession::Linger() {
  phase_ = Phase::kLingering;
  phase_began_at_ = Now();
  serializer_.reset();
  response_.reset();
  input_.Clear();
  header_hold_.Release();
  RecordMemory();
  ErrorCode ignored;
  socket_.shutdown(asio::socket_base::shutdown_send, ignored);
  Read();
}

void HttpSession::CheckTimeouts(TimePoint now) {
  const TrafficLimits limits = options_.limits();
  switch (phase_) {
    case Phase::kIdle:
      if (now - phase_began_at_ > limits.idle_timeout) CloseIfNothingUnread();
      break;
    case Phase::kReading:
      if (!parser_->is_header_done()) {
        if (now - phase_began_at_ > limits.header_timeout) {
          RespondAndClose(http::status::request_timeout);
        }
      } else if (memory_wait_) {
        if (now - memory_wait_began_at_ > kMaxMemoryWait) {
          Evict(EvictionReason::kNoMemory);
        }
      } else if (now - last_read_at_ > limits.idle_timeout) {
        RespondAndClose(http::status::request_timeout);
      }
      break;
    case Phase::kWriting:
      if (now - phase_began_at_ > kWriteTimeout) Close();
      break;
    case Phase::kLingering:
      if (now - phase_began_at_ > kLingerTime) Close();
      break;
    case Phase::kHandling:
      // While reading is paused at the limit, no read reports a disconnect.
      if (!is_read_pending_ && HasPeerClosed(socket_)) CloseAndReport();
      break;
    case Phase::kClosed:
      break;
  }
}

void HttpSession::CloseWhenIdle() {
  close_when_idle_ = true;
  if (phase_ == Phase::kIdle) CloseIfNothingUnread();
}

void HttpSession::CloseIfNothingUnread() {
  // The pending read may have taken a part of a request from the socket
  // already, with its handler still to run. Cancelling it leaves that part
  // intact.
  if (!IsOpenAndIdle(socket_) || is_idle_read_cancelled_) return;
  is_idle_read_cancelled_ = true;
  ErrorCode ignored;
  socket_.cancel(ignored);
}

void HttpSession::OnIdleReadCancelled() {
  // A request that lies unread is read next, and then answered.
  if (IsOpenAndIdle(socket_)) {
    Close();
  } else {
    Read();
  }
}

void HttpSession::CloseIfIdle() {
  if (phase_ == Phase::kIdle) CloseIfNothingUnread();
}

std::optional<PeerHolding> HttpSession::Holding(TimePoint now) const {
  PeerHolding holding{.bytes = header_hold_.bytes() + body_hold_.bytes() +
                               read_ahead_hold_.bytes(),
                      .request_began_at = request_began_at_,
                      .is_too_slow = progress_.IsTooSlow(now)};
  if (phase_ == Phase::kReading) {
    if (memory_wait_) {
      holding.activity = PeerActivity::kWaiting;
      holding.waits_since = memory_wait_began_at_;
    }
    return holding;
  }
  if (phase_ != Phase::kWriting) return std::nullopt;
  holding.activity = PeerActivity::kSending;
  holding.bytes += response_->body().allocated_bytes();
  return holding;
}

void HttpSession::ResumeReading() {
  if (memory_wait_ && phase_ == Phase::kReading) Read();
}

void HttpSession::Evict(EvictionReason reason) {
  const PeerHolding holding = Holding(Now()).value_or(PeerHolding{});
  LogEvent(LogLevel::kWarning, Event::kPeerEvicted,
           absl::StrCat("peer=", peer_, " reason=",
                        std::string(kEvictionReasonNames.Name(reason)),
                        " bytes=", holding.bytes));
  if (options_.on_eviction) options_.on_eviction(reason);
  if (phase_ == Phase::kWriting) {
    Close();
  } else if (phase_ == Phase::kReading) {
    // 408 and 503 guarantee that the request has not run.
    RespondAndClose(reason == EvictionReason::kNoMemory
                        ? http::status::service_unavailable
                        : http::status::request_timeout,
                    kEvictionReasonNames.Name(reason));
  }
}

void HttpSession::Abort() { Close(); }

bool HttpSession::HasCallerDisconnected() {
  return phase_ == Phase::kClosed || HasPeerClosed(socket_);
}

void HttpSession::CloseAndReport() {
  const bool was_handling = phase_ == Phase::kHandling;
  const auto on_caller_gone = std::move(on_caller_gone_);
  Close();
  if (was_handling && on_caller_gone) on_caller_gone();
}

void HttpSession::Close() {
  if (phase_ == Phase::kClosed) return;
  phase_ = Phase::kClosed;
  on_caller_gone_ = nullptr;
  memory_wait_.reset();
  ErrorCode ignored;
  socket_.close(ignored);
  if (options_.on_closed) options_.on_closed(this);
}

}  // namespace greengage
