#include "gg_entry/target_attempt.h"

#include <netinet/tcp.h>

#include "absl/strings/str_cat.h"
#include "gg_http/header_policy.h"
#include "gg_store/response_reading.h"

namespace greengage {
namespace {

/** Largest response body, as responses are held in memory. */
constexpr uint64_t kMaxResponseBodyBytes = 16 * 1024 * 1024;

/** Time without an acknowledgement after which a connection with unacknowledged
    bytes is closed. It is five times the longest round trip of present
    deployments, which leaves room for two lost packets. */
constexpr int kTcpUserTimeoutMs = 1000;

void SetSocketOptions(asio::ip::tcp::socket* socket) {
  ErrorCode ignored;  // without the options the request's time limit applies
  socket->set_option(asio::ip::tcp::no_delay(true), ignored);
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  socket->set_option(UserTimeout(kTcpUserTimeoutMs), ignored);
}

/** Returns true if the bytes themselves are at fault, and not the end of the
    connection. */
bool IsOddMessage(const ErrorCode& error) {
  const bool is_parser_error =
      error.category() == ErrorCode(http::error::bad_value).category();
  return is_parser_error && error != http::error::need_more &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

}  // namespace

TargetAttempt::TargetAttempt(Options options)
    : options_(std::move(options)),
      connect_timer_(*options_.context),
      response_hold_(options_.memory, MemoryClass::kResponse) {}

void TargetAttempt::Start() {
  if (options_.pooled_connection != nullptr) {
    uses_pooled_connection_ = true;
    connection_ = std::move(options_.pooled_connection);
    Send();
    return;
  }
  connection_ = std::make_shared<PooledConnection>(options_.context);
  connect_timer_.expires_after(options_.connect_timeout);
  connect_timer_.async_wait(
      [self = shared_from_this()](const ErrorCode& error) {
        if (error || self->is_sent_ || self->is_done_) return;
        self->Fail(AttemptFault::kNotSent, "connect: time-out");
      });
  connection_->socket.async_connect(
      options_.endpoint, [self = shared_from_this()](const ErrorCode& error) {
        if (self->is_done_) return;
        self->connect_timer_.cancel();
        if (error) {
          self->Fail(AttemptFault::kNotSent,
                     absl::StrCat("connect: ", error.message()),
                     error == asio::error::connection_refused);
          return;
        }
        SetSocketOptions(&self->connection_->socket);
        self->Send();
      });
}

void TargetAttempt::Send() {
  // Moved out first, as the function may call Cancel().
  const auto make_request = std::move(options_.make_request);
  request_ = make_request();
  if (request_ == nullptr) {
    Cancel();
    return;
  }
  is_sent_ = true;
  http::async_write(
      connection_->socket, *request_,
      [self = shared_from_this()](const ErrorCode& error, size_t) {
        // A write error is not final: the target may have responded before it
        // closed the connection, which the read shows.
        if (!error) self->is_request_written_ = true;
      });
  BeginResponse();
  ReadSome();
}

void TargetAttempt::BeginResponse() {
  parser_.emplace();
  parser_->body_limit(kMaxResponseBodyBytes);
  if (request_->method() == http::verb::head) parser_->skip(true);
  parser_->eager(true);
}

void TargetAttempt::ReadSome() {
  const size_t size = beast::read_size(connection_->buffer, kBodyChunkBytes);
  if (size == 0) {
    OnParsed(http::error::buffer_overflow);
    return;
  }
  connection_->socket.async_read_some(
      connection_->buffer.prepare(size),
      [self = shared_from_this()](const ErrorCode& error, size_t count) {
        self->OnReadSome(error, count);
      });
}

void TargetAttempt::OnReadSome(const ErrorCode& error, size_t count) {
  if (is_done_) return;
  connection_->buffer.commit(count);
  if (error == asio::error::eof) {
    OnParsed(ParseEndOfStream(connection_->socket, &*parser_));
  } else if (error) {
    OnParsed(error);
  } else {
    OnParsed(ParseBuffered(&connection_->buffer, &*parser_));
  }
}

void TargetAttempt::OnParsed(const ErrorCode& error) {
  if (IsOddMessage(error)) {
    FailOddMessage(error.message());
  } else if (error && error != http::error::need_more) {
    Fail(AttemptFault::kMayHaveRun, absl::StrCat("receive: ", error.message()));
  } else if (!TakeResponseBytes()) {
    Fail(AttemptFault::kMayHaveRun, "receive: no memory left for responses");
  } else if (parser_->is_done()) {
    OnResponse();
  } else {
    ReadSome();
  }
}

bool TargetAttempt::TakeResponseBytes() {
  const size_t held_bytes = parser_->header_bytes() +
                            parser_->get().body().allocated_bytes() +
                            connection_->buffer.size();
  const size_t taken_bytes = response_hold_.bytes();
  if (held_bytes > taken_bytes) {
    return response_hold_.Grow(held_bytes - taken_bytes, 0) ==
           MemoryDecision::kGranted;
  }
  response_hold_.Set(held_bytes);
  return true;
}

void TargetAttempt::OnResponse() {
  const unsigned status = parser_->get().result_int();
  if (status == kSwitchingProtocols) {
    FailOddMessage("the target switched protocols unasked");
    return;
  }
  const bool is_interim = IsInterim(status);
  if (is_interim && ++interim_response_count_ > kMaxInterimResponses) {
    FailOddMessage("too many interim responses");
    return;
  }
  if (is_interim) {
    BeginResponse();
    OnParsed(ParseBuffered(&connection_->buffer, &*parser_));
    return;
  }
  AttemptOutcome outcome;
  const bool is_reusable = is_request_written_ && parser_->keep_alive() &&
                           connection_->buffer.size() == 0;
  if (is_reusable) outcome.reusable_connection = connection_;
  outcome.response = parser_->release();
  // Until the caller has received the body.
  outcome.response->body().KeepHold(std::move(response_hold_));
  Finish(std::move(outcome));
}

void TargetAttempt::Fail(AttemptFault fault, const std::string& reason,
                         bool is_connection_refused) {
  AttemptOutcome outcome;
  outcome.fault = fault;
  outcome.reason = reason;
  outcome.is_connection_refused = is_connection_refused;
  Finish(std::move(outcome));
}

void TargetAttempt::FailOddMessage(const std::string& reason) {
  AttemptOutcome outcome;
  outcome.fault = AttemptFault::kMayHaveRun;
  outcome.reason = absl::StrCat("receive: ", reason);
  outcome.is_odd_message = true;
  Finish(std::move(outcome));
}

void TargetAttempt::Finish(AttemptOutcome outcome) {
  response_hold_.Release();
  outcome.used_pooled_connection = uses_pooled_connection_;
  const auto on_done = std::move(options_.on_done);
  const bool is_reusable = outcome.reusable_connection != nullptr;
  if (is_reusable) {
    is_done_ = true;
    connect_timer_.cancel();
  } else {
    Cancel();
  }
  on_done(std::move(outcome));
}

void TargetAttempt::Cancel() {
  response_hold_.Release();
  is_done_ = true;
  options_.on_done = nullptr;
  options_.make_request = nullptr;
  connect_timer_.cancel();
  ErrorCode ignored;
  if (connection_ != nullptr) connection_->socket.close(ignored);
}

}  // namespace greengage
