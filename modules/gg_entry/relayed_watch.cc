#include "gg_entry/relayed_watch.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"
#include "gg_insight/event_log.h"
#include "gg_wire/change_relay_codec.h"
#include "gg_wire/frame_codec.h"

namespace greengage {
namespace {

TimePoint Now() { return std::chrono::steady_clock::now(); }

}  // namespace

struct RelayedWatch::Link {
  explicit Link(asio::io_context* context) : socket(*context) {}
  asio::ip::tcp::socket socket;
};

RelayedWatch::RelayedWatch(asio::io_context* context, Options options,
                           KeyValueStore store)
    : context_(context), options_(options), store_(std::move(store)) {}

RelayedWatch::~RelayedWatch() = default;

KeyValueStore RelayedWatch::Calls() {
  KeyValueStore calls = store_;
  calls.watch = [this](uint64_t after, Duration wait) {
    return Watch(after, wait);
  };
  calls.cancel_watch = [this] { Cancel(); };
  return calls;
}

bool RelayedWatch::UsesRelay() const {
  return !address_.empty() && Now() >= direct_until_;
}

void RelayedWatch::SetRelay(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  Close();
}

void RelayedWatch::Close() {
  if (link_ == nullptr) return;
  ErrorCode ignored;
  link_->socket.close(ignored);
  link_ = nullptr;
}

void RelayedWatch::Cancel() {
  if (!is_listening_) {
    store_.cancel_watch();
    return;
  }
  direct_until_ = Now() + options_.direct_time;
  Close();
}

asio::awaitable<absl::StatusOr<KeyValueReadResult>> RelayedWatch::Watch(
    uint64_t after, Duration wait) {
  while (UsesRelay()) {
    const std::string tried = address_;
    is_listening_ = true;
    auto changes = co_await Listen(after);
    is_listening_ = false;
    if (changes.ok()) co_return changes;
    Close();
    LogEvent(LogLevel::kInfo, Event::kRelayLost,
             absl::StrCat("relay=", tried, " reason=\"",
                          changes.status().message(), "\""));
    if (address_ == tried) direct_until_ = Now() + options_.direct_time;
  }
  co_return co_await store_.watch(after, wait);
}

asio::awaitable<absl::Status> RelayedWatch::Connect(uint64_t after) {
  const auto endpoint = ParseEndpoint(address_);
  if (!endpoint) {
    co_return StepError(absl::StatusCode::kInvalidArgument, Step::kPeerFrame,
                        address_, "not an address");
  }
  const auto link = std::make_shared<Link>(context_);
  link_ = link;
  asio::steady_timer timer(*context_, options_.connect_timeout);
  timer.async_wait([link](const ErrorCode& cancelled) {
    ErrorCode ignored;
    if (!cancelled) link->socket.close(ignored);
  });
  ErrorCode error;
  co_await link->socket.async_connect(*endpoint, Await(&error));
  timer.cancel();
  if (!error) {
    const std::string request = EncodeRelayRequest(after);
    co_await asio::async_write(link->socket, asio::buffer(request),
                               Await(&error));
  }
  if (!error) co_return absl::OkStatus();
  co_return StepError(absl::StatusCode::kUnavailable, Step::kPeerFrame,
                      address_, error.message());
}

asio::awaitable<absl::StatusOr<KeyValueReadResult>> RelayedWatch::Listen(
    uint64_t after) {
  if (link_ == nullptr) {
    const absl::Status connected = co_await Connect(after);
    if (!connected.ok()) co_return connected;
    LogEvent(LogLevel::kInfo, Event::kRelayFollowed,
             absl::StrCat("relay=", address_, " after=", after));
  }
  const std::shared_ptr<Link> link = link_;
  const std::string peer = address_;
  const auto failed = [&](const ErrorCode& error) {
    return StepError(absl::StatusCode::kUnavailable, Step::kPeerFrame, peer,
                     error.message());
  };
  if (link == nullptr) co_return failed(asio::error::operation_aborted);
  ErrorCode error;
  std::string prefix(kFramePrefixBytes, '\0');
  co_await asio::async_read(link->socket, asio::buffer(prefix), Await(&error));
  if (error) co_return failed(error);
  const auto size = DecodeFramePrefix(prefix, peer);
  if (!size.ok()) co_return size.status();
  std::string frame(*size, '\0');
  co_await asio::async_read(link->socket, asio::buffer(frame), Await(&error));
  if (error) co_return failed(error);
  co_return DecodeRelayedChanges(frame, peer);
}

}  // namespace greengage
