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

struct RelayedWatch::Connection {
  explicit Connection(asio::io_context* context) : socket(*context) {}
  asio::ip::tcp::socket socket;
};

RelayedWatch::RelayedWatch(asio::io_context* context, Options options,
                           KeyValueStore store)
    : context_(context), options_(options), store_(std::move(store)) {}

RelayedWatch::~RelayedWatch() = default;

KeyValueStore RelayedWatch::StoreWithRelayedWatch() {
  KeyValueStore calls = store_;
  calls.watch = [this](StorePosition after, Duration wait) {
    return Watch(after, wait);
  };
  calls.cancel_watch = [this] { CancelWatch(); };
  // A relay that is slow to send is left for the store.
  calls.watch_progress_at = [this] {
    return is_reading_relay_ ? TimePoint{} : store_.watch_progress_at();
  };
  return calls;
}

bool RelayedWatch::ShouldUseRelay() const {
  return !relay_address_.empty() && Now() >= direct_watch_until_;
}

void RelayedWatch::SetRelayAddress(const std::string& address) {
  if (address == relay_address_) return;
  relay_address_ = address;
  CloseConnection();
}

void RelayedWatch::CloseConnection() {
  if (connection_ == nullptr) return;
  ErrorCode ignored;
  connection_->socket.close(ignored);
  connection_ = nullptr;
}

void RelayedWatch::CancelWatch() {
  if (!is_reading_relay_) {
    store_.cancel_watch();
    return;
  }
  direct_watch_until_ = Now() + options_.direct_watch_time;
  CloseConnection();
}

asio::awaitable<absl::StatusOr<KeyValueReadResult>> RelayedWatch::Watch(
    StorePosition after, Duration wait) {
  while (ShouldUseRelay()) {
    const std::string used_address = relay_address_;
    is_reading_relay_ = true;
    auto changes = co_await ReadFromRelay(after);
    is_reading_relay_ = false;
    if (changes.ok()) co_return changes;
    CloseConnection();
    LogEvent(LogLevel::kInfo, Event::kRelayLost,
             absl::StrCat("relay=", used_address, " reason=\"",
                          changes.status().message(), "\""));
    if (relay_address_ == used_address) {
      direct_watch_until_ = Now() + options_.direct_watch_time;
    }
  }
  co_return co_await store_.watch(after, wait);
}

asio::awaitable<absl::Status> RelayedWatch::Connect(StorePosition after) {
  const auto endpoint = ParseEndpoint(relay_address_);
  if (!endpoint) {
    co_return StepError(absl::StatusCode::kInvalidArgument, Step::kPeerFrame,
                        relay_address_, "not an address");
  }
  const auto connection = std::make_shared<Connection>(context_);
  connection_ = connection;
  asio::steady_timer timer(*context_, options_.connect_timeout);
  timer.async_wait([connection](const ErrorCode& cancelled) {
    ErrorCode ignored;
    if (!cancelled) connection->socket.close(ignored);
  });
  ErrorCode error;
  co_await connection->socket.async_connect(*endpoint, Await(&error));
  timer.cancel();
  if (!error) {
    const std::string request = EncodeRelayRequest(after);
    co_await asio::async_write(connection->socket, asio::buffer(request),
                               Await(&error));
  }
  if (!error) co_return absl::OkStatus();
  co_return StepError(absl::StatusCode::kUnavailable, Step::kPeerFrame,
                      relay_address_, error.message());
}

asio::awaitable<absl::StatusOr<KeyValueReadResult>> RelayedWatch::ReadFromRelay(
    StorePosition after) {
  if (connection_ == nullptr) {
    const absl::Status connected = co_await Connect(after);
    if (!connected.ok()) co_return connected;
    LogEvent(LogLevel::kInfo, Event::kRelayFollowed,
             absl::StrCat("relay=", relay_address_, " after=", after.revision,
                          " era=", after.era));
  }
  const std::shared_ptr<Connection> connection = connection_;
  const std::string peer = relay_address_;
  const auto make_error = [&](const ErrorCode& error) {
    return StepError(absl::StatusCode::kUnavailable, Step::kPeerFrame, peer,
                     error.message());
  };
  if (connection == nullptr) {
    co_return make_error(asio::error::operation_aborted);
  }
  ErrorCode error;
  std::string prefix(kFramePrefixBytes, '\0');
  co_await asio::async_read(connection->socket, asio::buffer(prefix),
                            Await(&error));
  if (error) co_return make_error(error);
  const auto size = DecodeFramePrefix(prefix, peer);
  if (!size.ok()) co_return size.status();
  std::string frame(*size, '\0');
  co_await asio::async_read(connection->socket, asio::buffer(frame),
                            Await(&error));
  if (error) co_return make_error(error);
  co_return DecodeRelayedChanges(frame, peer);
}

}  // namespace greengage
