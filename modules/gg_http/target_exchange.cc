#include "gg_http/target_exchange.h"

#include <sys/socket.h>

#include <algorithm>

#include "gg_core/errors.h"
#include "gg_http/header_policy.h"

namespace greengage {
namespace {

constexpr uint32_t kAnswerHeaderLimitBytes = 64 * 1024;

template <bool kIsRequest, typename Body>
void CopyHeader(const http::header<kIsRequest, http::fields>& from,
                http::message<kIsRequest, Body>* to) {
  CopyEndToEndFields(from, to);
}

}  // namespace

/** Cancels the exchange with the target when the caller closes its side. */
class TargetExchange::CallerWatch
    : public std::enable_shared_from_this<CallerWatch> {
 public:
  CallerWatch(CallerConnection* caller, TargetConnection* target)
      : caller_(caller), target_(target) {}

  void Start() {
    caller_->stream.socket().async_wait(
        asio::socket_base::wait_read,
        [self = shared_from_this()](const ErrorCode& error) {
          if (!error) self->OnReadable();
        });
  }

  /** Ends the watch; no other operation may be pending on the caller. */
  void Stop() {
    if (caller_ == nullptr) return;
    ErrorCode ignored;
    if (!fired_) caller_->stream.socket().cancel(ignored);
    caller_ = nullptr;
  }

  bool gone() const { return gone_; }

 private:
  void OnReadable() {
    fired_ = true;
    if (caller_ == nullptr) return;
    char byte = 0;
    const ssize_t count = ::recv(caller_->stream.socket().native_handle(),
                                 &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    gone_ = count == 0 || (count < 0 && errno != EAGAIN);
    if (gone_) target_->stream.cancel();
  }

  CallerConnection* caller_;
  TargetConnection* target_;
  bool fired_ = false;
  bool gone_ = false;
};

TargetExchange::TargetExchange(ExchangeParts parts)
    : parts_(std::move(parts)) {}

TargetExchange::~TargetExchange() {
  if (watch_) watch_->Stop();
}

asio::awaitable<absl::Status> TargetExchange::Send() {
  SetDeadline();
  // GCC 12 destroys a result twice that a conditional operator takes from one
  // of two awaits.
  absl::Status sent;
  if (parts_.held_body != nullptr) {
    sent = co_await SendHeldRequest();
  } else {
    sent = co_await StreamRequest();
  }
  request_sent_ = sent.ok();
  co_return sent;
}

asio::awaitable<absl::Status> TargetExchange::ReadHeader() {
  if (parts_.cancel_with_caller && parts_.request->is_done()) {
    watch_ = std::make_shared<CallerWatch>(parts_.caller, parts_.target);
    watch_->Start();
  }
  ErrorCode error;
  for (;;) {
    parser_.emplace();
    parser_->header_limit(kAnswerHeaderLimitBytes);
    parser_->body_limit(kUnlimitedBody);
    if (parts_.request->get().method() == http::verb::head) {
      parser_->skip(true);
    }
    SetDeadline();
    co_await http::async_read_header(
        parts_.target->stream, parts_.target->buffer, *parser_, Await(&error));
    if (error) co_return Failed(Step::kForwardReceive, error);
    const auto status = parser_->get().result();
    const bool is_interim =
        http::to_status_class(status) == http::status_class::informational;
    if (!is_interim) co_return absl::OkStatus();
  }
}

asio::awaitable<absl::Status> TargetExchange::ReadHeldBody() {
  while (HasBody() && !parser_->is_done()) {
    std::string chunk;
    const ErrorCode error = co_await ReadSome(&chunk);
    held_ += chunk;
    if (error) co_return Failed(Step::kForwardReceive, error);
    if (held_.size() > kHeldBodyBytes) co_return absl::OkStatus();
  }
  held_whole_ = true;
  co_return absl::OkStatus();
}

asio::awaitable<HandledRequest> TargetExchange::SendHeld(bool close_after) {
  if (watch_) watch_->Stop();
  if (!HasBody()) co_return co_await SendHeaderOnly(close_after);
  http::response<http::string_body> answer(parser_->get().result(), 11);
  answer.reason(parser_->get().reason());
  CopyHeader(parser_->get().base(), &answer);
  answer.body() = held_;
  answer.prepare_payload();
  const bool keep_alive = parts_.request->get().keep_alive() &&
                          parts_.request->is_done() && !close_after;
  answer.keep_alive(keep_alive);
  ErrorCode error;
  parts_.caller->stream.expires_after(kCallerStallLimit);
  co_await http::async_write(parts_.caller->stream, answer, Await(&error));
  co_return HandledRequest{keep_alive && !error};
}

asio::awaitable<HandledRequest> TargetExchange::Relay(bool close_after,
                                                      bool* whole) {
  if (watch_) watch_->Stop();
  *whole = false;
  http::response<http::buffer_body> answer(parser_->get().result(), 11);
  answer.reason(parser_->get().reason());
  CopyHeader(parser_->get().base(), &answer);
  const auto length = parser_->content_length();
  if (length) {
    answer.content_length(*length);
  } else {
    answer.chunked(true);
  }
  const bool keep_alive = parts_.request->get().keep_alive() &&
                          parts_.request->is_done() && !close_after;
  answer.keep_alive(keep_alive);
  http::response_serializer<http::buffer_body> serializer(answer);
  ErrorCode error;
  std::string chunk = std::move(held_);
  for (;;) {
    if (!chunk.empty()) {
      answer.body().data = chunk.data();
      answer.body().size = chunk.size();
      answer.body().more = true;
      parts_.caller->stream.expires_after(kCallerStallLimit);
      co_await http::async_write(parts_.caller->stream, serializer,
                                 Await(&error));
      if (error == http::error::need_buffer) error = {};
      if (error) co_return HandledRequest{false};
    }
    if (parser_->is_done()) break;
    chunk.clear();
    error = co_await ReadSome(&chunk);
    if (error) co_return HandledRequest{false};
  }
  answer.body() = {nullptr, 0, false};
  parts_.caller->stream.expires_after(kCallerStallLimit);
  co_await http::async_write(parts_.caller->stream, serializer, Await(&error));
  *whole = !error;
  co_return HandledRequest{keep_alive && !error};
}

bool TargetExchange::caller_gone() const {
  return watch_ != nullptr && watch_->gone();
}

bool TargetExchange::target_reusable() const {
  return request_sent_ && parser_.has_value() && parser_->is_done() &&
         parser_->get().keep_alive() && parts_.target->buffer.size() == 0;
}

asio::awaitable<absl::Status> TargetExchange::SendHeldRequest() {
  http::request<http::string_body> request(parts_.request->get().method(),
                                           parts_.request->get().target(), 11);
  request.method_string(parts_.request->get().method_string());
  FillRequest(&request);
  request.body() = *parts_.held_body;
  const bool has_framing = parts_.request->get().has_content_length() ||
                           parts_.request->get().chunked() ||
                           !parts_.held_body->empty();
  if (has_framing) request.content_length(parts_.held_body->size());
  co_await Pace(parts_.pace_request,
                static_cast<int64_t>(request.body().size()));
  dispatched_ = true;
  ErrorCode error;
  co_await http::async_write(parts_.target->stream, request, Await(&error));
  if (error) co_return Failed(Step::kForwardSend, error);
  co_return absl::OkStatus();
}

asio::awaitable<absl::Status> TargetExchange::StreamRequest() {
  http::request<http::buffer_body> request(parts_.request->get().method(),
                                           parts_.request->get().target(), 11);
  request.method_string(parts_.request->get().method_string());
  FillRequest(&request);
  const auto length = parts_.request->content_length();
  if (length) {
    request.content_length(*length);
  } else {
    request.chunked(true);
  }
  http::request_serializer<http::buffer_body> serializer(request);
  ErrorCode error;
  std::string chunk(kBodyChunkBytes, '\0');
  dispatched_ = true;
  while (!parts_.request->is_done()) {
    auto& incoming = parts_.request->get().body();
    incoming.data = chunk.data();
    incoming.size = chunk.size();
    parts_.caller->stream.expires_after(kCallerStallLimit);
    co_await http::async_read(parts_.caller->stream, parts_.caller->buffer,
                              *parts_.request, Await(&error));
    if (error == http::error::need_buffer) error = {};
    if (error) co_return Failed(Step::kBodyRead, error);
    const size_t count = chunk.size() - incoming.size;
    if (count == 0) continue;
    co_await Pace(parts_.pace_request, static_cast<int64_t>(count));
    request.body().data = chunk.data();
    request.body().size = count;
    request.body().more = true;
    SetDeadline();
    co_await http::async_write(parts_.target->stream, serializer,
                               Await(&error));
    if (error == http::error::need_buffer) error = {};
    if (error) co_return Failed(Step::kForwardSend, error);
  }
  request.body() = {nullptr, 0, false};
  co_await http::async_write(parts_.target->stream, serializer, Await(&error));
  if (error) co_return Failed(Step::kForwardSend, error);
  co_return absl::OkStatus();
}

asio::awaitable<ErrorCode> TargetExchange::ReadSome(std::string* chunk) {
  const uint64_t wanted =
      parser_->content_length_remaining().value_or(kBodyChunkBytes);
  const size_t size = std::clamp<uint64_t>(wanted, 1, kBodyChunkBytes);
  if (chunk_.size() < size) chunk_.resize(size);
  auto& body = parser_->get().body();
  body.data = chunk_.data();
  body.size = chunk_.size();
  SetDeadline();
  ErrorCode error;
  co_await http::async_read_some(parts_.target->stream, parts_.target->buffer,
                                 *parser_, Await(&error));
  if (error == http::error::need_buffer) error = {};
  const size_t count = chunk_.size() - body.size;
  chunk->assign(chunk_.data(), count);
  co_await Pace(parts_.pace_answer, static_cast<int64_t>(count));
  co_return error;
}

asio::awaitable<void> TargetExchange::Pace(const PaceHook& hook,
                                           int64_t bytes) {
  if (!hook || bytes == 0) co_return;
  for (;;) {
    const Duration wait = hook(bytes);
    if (wait <= Duration::zero()) co_return;
    co_await SleepFor(wait);
  }
}

asio::awaitable<HandledRequest> TargetExchange::SendHeaderOnly(
    bool close_after) {
  http::response<http::empty_body> answer(parser_->get().result(), 11);
  answer.reason(parser_->get().reason());
  CopyHeader(parser_->get().base(), &answer);
  const auto length = parser_->get()[http::field::content_length];
  if (!length.empty()) answer.set(http::field::content_length, length);
  const bool keep_alive = parts_.request->get().keep_alive() &&
                          parts_.request->is_done() && !close_after;
  answer.keep_alive(keep_alive);
  http::response_serializer<http::empty_body> serializer(answer);
  ErrorCode error;
  parts_.caller->stream.expires_after(kCallerStallLimit);
  co_await http::async_write_header(parts_.caller->stream, serializer,
                                    Await(&error));
  co_return HandledRequest{keep_alive && !error};
}

void TargetExchange::FillRequest(http::fields* fields) const {
  CopyEndToEndFields(parts_.request->get().base(), fields);
  for (const auto& field : parts_.extra_fields) {
    fields->set(field.name_string(), field.value());
  }
}

void TargetExchange::SetDeadline() {
  if (parts_.deadline) {
    parts_.target->stream.expires_at(*parts_.deadline);
  } else {
    parts_.target->stream.expires_never();
  }
}

bool TargetExchange::HasBody() const {
  return parts_.request->get().method() != http::verb::head &&
         !IsBodyless(parser_->get().result());
}

absl::Status TargetExchange::Failed(Step step, const ErrorCode& error) const {
  const bool is_callers = step == Step::kBodyRead;
  const auto code = error == beast::error::timeout
                        ? absl::StatusCode::kDeadlineExceeded
                        : absl::StatusCode::kUnknown;
  return StepError(code, step,
                   is_callers ? parts_.caller->address : parts_.target->address,
                   error.message());
}

}  // namespace greengage
