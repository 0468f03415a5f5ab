#include "gg_http/target_exchange.h"

#include <sys/socket.h>

#include <algorithm>

#include "gg_core/errors.h"
#include "gg_http/header_policy.h"
#include "gg_store/response_reading.h"

namespace greengage {
namespace {

/** Of a request, as Beast counts: 11 is HTTP/1.1. */
constexpr unsigned kFirstVersionWithChunks = 11;

TimePoint Now() { return std::chrono::steady_clock::now(); }

template <bool kIsRequest, typename Body>
void CopyHeader(const http::header<kIsRequest, http::fields>& from,
                http::message<kIsRequest, Body>* to) {
  CopyEndToEndFields(from, to);
  to->erase(ToBeast(kAttemptField));
}

}  // namespace

/** Cancels the exchange with the target when the caller closes its
    connection. */
class TargetExchange::CallerDisconnectMonitor
    : public std::enable_shared_from_this<CallerDisconnectMonitor> {
 public:
  CallerDisconnectMonitor(CallerConnection* caller, TargetConnection* target)
      : caller_(caller), target_(target) {}

  void Start() {
    caller_->stream.socket().async_wait(
        asio::socket_base::wait_read,
        [self = shared_from_this()](const ErrorCode& error) {
          if (!error) self->OnReadable();
        });
  }

  /** Stops monitoring. No other operation may be pending on the caller's
      socket, as it would be cancelled too. */
  void Stop() {
    if (caller_ == nullptr) return;
    ErrorCode ignored;
    if (!is_wait_complete_) caller_->stream.socket().cancel(ignored);
    caller_ = nullptr;
  }

  bool is_disconnected() const { return is_disconnected_; }

 private:
  void OnReadable() {
    is_wait_complete_ = true;
    if (caller_ == nullptr) return;
    char byte = 0;
    const ssize_t size_read = ::recv(caller_->stream.socket().native_handle(),
                                     &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    is_disconnected_ = size_read == 0 || (size_read < 0 && errno != EAGAIN);
    if (is_disconnected_) target_->stream.cancel();
  }

  CallerConnection* caller_;
  TargetConnection* target_;
  bool is_wait_complete_ = false;
  bool is_disconnected_ = false;
};

TargetExchange::TargetExchange(ExchangeOptions options)
    : options_(std::move(options)) {}

TargetExchange::~TargetExchange() {
  if (disconnect_monitor_) disconnect_monitor_->Stop();
}

asio::awaitable<absl::Status> TargetExchange::SendRequest() {
  ApplyDeadline();
  // No conditional operator here: GCC 12 destroys its result twice if both
  // operands are co_await expressions.
  absl::Status status;
  if (options_.buffered_request_body != nullptr) {
    status = co_await SendBufferedRequest();
  } else {
    status = co_await StreamRequest();
  }
  is_request_sent_ = status.ok();
  co_return status;
}

asio::awaitable<absl::Status> TargetExchange::ReadResponseHeader() {
  if (options_.cancels_on_disconnect && options_.request->is_done()) {
    disconnect_monitor_ = std::make_shared<CallerDisconnectMonitor>(
        options_.caller, options_.target);
    disconnect_monitor_->Start();
  }
  ApplyDeadline();
  const bool is_head = options_.request->get().method() == http::verb::head;
  const ErrorCode error = co_await ReadFinalResponseHeader(
      &options_.target->stream, &options_.target->buffer, &parser_,
      [is_head](ResponseParser* parser) {
        parser->body_limit(kUnlimitedBody);
        parser->skip(is_head);
      });
  if (error) co_return MakeError(Step::kForwardReceive, error);
  has_stale_response_ = options_.is_reused_connection && !RepeatsAttemptId();
  if (has_stale_response_) {
    co_return StepError(absl::StatusCode::kUnknown, Step::kForwardReceive,
                        options_.target->address,
                        "the response is to an earlier request");
  }
  has_response_ = true;
  is_fully_buffered_ = !ResponseHasBody();
  co_return absl::OkStatus();
}

asio::awaitable<absl::Status> TargetExchange::BufferResponseBody() {
  while (ResponseHasBody() && !parser_->is_done()) {
    std::string chunk;
    const ErrorCode error = co_await ReadBodyChunk(&chunk);
    buffered_body_ += chunk;
    if (error) co_return MakeError(Step::kForwardReceive, error);
    if (buffered_body_.size() > kMaxBufferedBodyBytes) {
      co_return absl::OkStatus();
    }
  }
  is_fully_buffered_ = true;
  co_return absl::OkStatus();
}

asio::awaitable<HandlerResult> TargetExchange::SendBufferedResponse(
    bool should_close) {
  if (disconnect_monitor_) disconnect_monitor_->Stop();
  if (!ResponseHasBody()) co_return co_await SendResponseHeader(should_close);
  http::response<http::span_body<const char>> response(parser_->get().result(),
                                                       11);
  response.reason(parser_->get().reason());
  CopyHeader(parser_->get().base(), &response);
  response.body() = {buffered_body_.data(), buffered_body_.size()};
  response.prepare_payload();
  const bool keep_alive = options_.request->get().keep_alive() &&
                          options_.request->is_done() && !should_close;
  response.keep_alive(keep_alive);
  http::response_serializer<http::span_body<const char>> serializer(response);
  const ErrorCode error = co_await WriteToCaller(options_.caller, &serializer);
  co_return HandlerResult{keep_alive && !error};
}

asio::awaitable<HandlerResult> TargetExchange::RelayResponse(
    bool should_close, bool* is_complete) {
  if (disconnect_monitor_) disconnect_monitor_->Stop();
  *is_complete = false;
  http::response<http::buffer_body> response(parser_->get().result(), 11);
  response.reason(parser_->get().reason());
  CopyHeader(parser_->get().base(), &response);
  const auto length = parser_->content_length();
  const bool ends_with_connection =
      !length && options_.request->get().version() < kFirstVersionWithChunks;
  if (length) {
    response.content_length(*length);
  } else if (!ends_with_connection) {
    response.chunked(true);
  }
  const bool keep_alive = options_.request->get().keep_alive() &&
                          options_.request->is_done() && !should_close &&
                          !ends_with_connection;
  response.keep_alive(keep_alive);
  http::response_serializer<http::buffer_body> serializer(response);
  ErrorCode error;
  std::string chunk = std::move(buffered_body_);
  for (;;) {
    if (!chunk.empty()) {
      response.body().data = chunk.data();
      response.body().size = chunk.size();
      response.body().more = true;
      error = co_await WriteToCaller(options_.caller, &serializer);
      if (error) co_return HandlerResult{false};
    }
    if (parser_->is_done()) break;
    chunk.clear();
    error = co_await ReadBodyChunk(&chunk);
    if (error) co_return CutResponse(ends_with_connection);
  }
  response.body() = {nullptr, 0, false};
  error = co_await WriteToCaller(options_.caller, &serializer);
  *is_complete = !error;
  co_return HandlerResult{keep_alive && !error};
}

HandlerResult TargetExchange::CutResponse(bool ends_with_connection) {
  if (ends_with_connection) {
    ErrorCode ignored;
    asio::ip::tcp::socket& socket = options_.caller->stream.socket();
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }
  return HandlerResult{false};
}

bool TargetExchange::has_caller_disconnected() const {
  return disconnect_monitor_ != nullptr &&
         disconnect_monitor_->is_disconnected();
}

bool TargetExchange::is_target_reusable() const {
  return is_request_sent_ && has_response_ && parser_->is_done() &&
         parser_->keep_alive() && options_.target->buffer.size() == 0 &&
         RepeatsAttemptId();
}

asio::awaitable<absl::Status> TargetExchange::SendBufferedRequest() {
  http::request<http::span_body<const char>> request(
      options_.request->get().method(), options_.request->get().target(), 11);
  request.method_string(options_.request->get().method_string());
  CopyRequestFields(&request);
  request.body() = {options_.buffered_request_body->data(),
                    options_.buffered_request_body->size()};
  const bool has_framing = options_.request->get().has_content_length() ||
                           options_.request->get().chunked() ||
                           !options_.buffered_request_body->empty();
  if (has_framing) {
    request.content_length(options_.buffered_request_body->size());
  }
  co_await WaitForPacing(options_.request_pacer,
                         static_cast<int64_t>(request.body().size()));
  is_dispatched_ = true;
  ErrorCode error;
  co_await http::async_write(options_.target->stream, request, Await(&error));
  if (error) co_return MakeError(Step::kForwardSend, error);
  co_return absl::OkStatus();
}

asio::awaitable<absl::Status> TargetExchange::StreamRequest() {
  http::request<http::buffer_body> request(
      options_.request->get().method(), options_.request->get().target(), 11);
  request.method_string(options_.request->get().method_string());
  CopyRequestFields(&request);
  const auto length = options_.request->content_length();
  if (length) {
    request.content_length(*length);
  } else {
    request.chunked(true);
  }
  http::request_serializer<http::buffer_body> serializer(request);
  ErrorCode error;
  // Forwarder::ReadBody() has taken the memory.
  std::string chunk(kBodyChunkBytes, '\0');
  is_dispatched_ = true;
  CallerMemory& memory = options_.caller->memory;
  options_.request->eager(true);
  while (!options_.request->is_done()) {
    auto& incoming = options_.request->get().body();
    incoming.data = chunk.data();
    incoming.size = chunk.size();
    memory.BeginTransfer(PeerActivity::kReceiving, Now());
    while (!error && !options_.request->is_done()) {
      const size_t size_before = incoming.size;
      options_.caller->stream.expires_after(kCallerIoTimeout);
      error = co_await ReadMessageSome(
          &options_.caller->stream, &options_.caller->buffer, options_.request);
      memory.progress.Record(size_before - incoming.size, Now());
    }
    memory.EndTransfer();
    if (error == http::error::need_buffer) error = {};
    if (error) co_return MakeError(Step::kBodyRead, error);
    const size_t size_read = chunk.size() - incoming.size;
    if (size_read == 0) continue;
    co_await WaitForPacing(options_.request_pacer,
                           static_cast<int64_t>(size_read));
    request.body().data = chunk.data();
    request.body().size = size_read;
    request.body().more = true;
    ApplyDeadline();
    // A target that takes no bytes makes the caller's body stay in memory.
    memory.BeginTransfer(PeerActivity::kSending, Now());
    memory.cancel_target = [target = options_.target] {
      target->stream.close();
    };
    co_await http::async_write(options_.target->stream, serializer,
                               Await(&error));
    memory.cancel_target = nullptr;
    memory.EndTransfer();
    if (error == http::error::need_buffer) error = {};
    if (error) co_return MakeError(Step::kForwardSend, error);
  }
  request.body() = {nullptr, 0, false};
  co_await http::async_write(options_.target->stream, serializer,
                             Await(&error));
  if (error) co_return MakeError(Step::kForwardSend, error);
  co_return absl::OkStatus();
}

asio::awaitable<bool> TargetExchange::TakeResponseMemory(size_t bytes) {
  CallerMemory& memory = options_.caller->memory;
  co_return co_await TakeCallerMemory(&memory, &memory.response, bytes);
}

asio::awaitable<ErrorCode> TargetExchange::ReadBodyChunk(std::string* chunk) {
  const uint64_t remaining_bytes =
      parser_->content_length_remaining().value_or(kBodyChunkBytes);
  const size_t size = std::clamp<uint64_t>(remaining_bytes, 1, kBodyChunkBytes);
  // The part that is read, and its copy in `chunk`.
  const size_t held = options_.caller->memory.response.bytes();
  const size_t needed = buffered_body_.size() + 2 * size;
  if (needed > held && !co_await TakeResponseMemory(needed - held)) {
    co_return asio::error::no_memory;
  }
  if (read_buffer_.size() < size) read_buffer_.resize(size);
  auto& body = parser_->get().body();
  body.data = read_buffer_.data();
  body.size = read_buffer_.size();
  ApplyDeadline();
  ErrorCode error = co_await ReadMessageSome(
      &options_.target->stream, &options_.target->buffer, &*parser_);
  if (error == http::error::need_buffer) error = {};
  const size_t size_read = read_buffer_.size() - body.size;
  chunk->assign(read_buffer_.data(), size_read);
  co_await WaitForPacing(options_.response_pacer,
                         static_cast<int64_t>(size_read));
  co_return error;
}

asio::awaitable<void> TargetExchange::WaitForPacing(
    const PacingFunction& pacing, int64_t bytes) {
  if (!pacing || bytes == 0) co_return;
  for (;;) {
    const Duration wait = pacing(bytes);
    if (wait <= Duration::zero()) co_return;
    co_await SleepFor(wait);
  }
}

asio::awaitable<HandlerResult> TargetExchange::SendResponseHeader(
    bool should_close) {
  http::response<http::empty_body> response(parser_->get().result(), 11);
  response.reason(parser_->get().reason());
  CopyHeader(parser_->get().base(), &response);
  // A length is that of the response to a GET, which a 204 doesn't have.
  const auto length = parser_->get()[http::field::content_length];
  const bool may_have_length =
      parser_->get().result() != http::status::no_content;
  if (may_have_length && !length.empty()) {
    response.set(http::field::content_length, length);
  }
  const bool keep_alive = options_.request->get().keep_alive() &&
                          options_.request->is_done() && !should_close;
  response.keep_alive(keep_alive);
  http::response_serializer<http::empty_body> serializer(response);
  ErrorCode error;
  options_.caller->stream.expires_after(kCallerIoTimeout);
  co_await http::async_write_header(options_.caller->stream, serializer,
                                    Await(&error));
  co_return HandlerResult{keep_alive && !error};
}

void TargetExchange::CopyRequestFields(http::fields* fields) const {
  CopyEndToEndFields(options_.request->get().base(), fields);
  for (const auto& field : options_.extra_fields) {
    fields->set(field.name_string(), field.value());
  }
  if (options_.attempt_id.empty()) {
    fields->erase(ToBeast(kAttemptField));
  } else {
    fields->set(ToBeast(kAttemptField), options_.attempt_id);
  }
}

void TargetExchange::ApplyDeadline() {
  if (options_.deadline) {
    options_.target->stream.expires_at(*options_.deadline);
  } else {
    options_.target->stream.expires_never();
  }
}

bool TargetExchange::ResponseHasBody() const {
  return options_.request->get().method() != http::verb::head &&
         !IsBodyless(parser_->get().result_int());
}

bool TargetExchange::RepeatsAttemptId() const {
  return !options_.attempt_id.empty() &&
         FromBeast(parser_->get()[ToBeast(kAttemptField)]) ==
             options_.attempt_id;
}

absl::Status TargetExchange::MakeError(Step step,
                                       const ErrorCode& error) const {
  const bool is_caller_error = step == Step::kBodyRead;
  const auto code = error == beast::error::timeout
                        ? absl::StatusCode::kDeadlineExceeded
                        : absl::StatusCode::kUnknown;
  return StepError(
      code, step,
      is_caller_error ? options_.caller->address : options_.target->address,
      error.message());
}

}  // namespace greengage
