#include "gg_store/store_client.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <limits>

#include "gg_core/errors.h"
#include "gg_store/response_reading.h"
#include "gg_store/store_codec.h"

namespace greengage {
namespace {

constexpr size_t kMaxIdleConnections = 4;
constexpr size_t kMaxResponseBytes = 16 * 1024 * 1024;
/** Body limit for watches, whose response never ends. Beast in Boost 1.74
    rejects every body when the limit is boost::none. */
constexpr uint64_t kUnlimitedBodyBytes = std::numeric_limits<uint64_t>::max();
constexpr size_t kWatchChunkBytes = 16 * 1024;

http::request<http::string_body> MakeRequest(const std::string& path,
                                             const std::string& address,
                                             std::string body) {
  http::request<http::string_body> request(http::verb::post, path, 11);
  request.set(http::field::host, address);
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(body);
  request.prepare_payload();
  return request;
}

/** Removes the complete lines from the front of `text` and returns those that
    are not empty.
    @param searched_bytes  length of the front that is known to hold no end of a
                           line. */
std::vector<std::string> TakeLines(std::string* text, size_t searched_bytes) {
  std::vector<std::string> lines;
  size_t begin = 0;
  size_t end = text->find('\n', searched_bytes);
  for (; end != std::string::npos; end = text->find('\n', begin)) {
    if (end > begin) lines.push_back(text->substr(begin, end - begin));
    begin = end + 1;
  }
  text->erase(0, begin);
  return lines;
}

}  // namespace

struct StoreClient::Connection {
  explicit Connection(const asio::any_io_executor& executor)
      : stream(executor) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  std::string address;
};

StoreClient::StoreClient(asio::io_context* /*context*/, Options options)
    : options_(std::move(options)) {}

StoreClient::~StoreClient() = default;

asio::awaitable<absl::StatusOr<StoreReadResult>> StoreClient::Get(
    std::string key) {
  const auto response = co_await Call("/v3/kv/range", EncodeRange(key, ""));
  if (!response.ok()) co_return response.status();
  co_return DecodeRange(*response, CurrentAddress());
}

asio::awaitable<absl::StatusOr<StoreReadResult>> StoreClient::GetPrefix(
    std::string prefix) {
  const auto response =
      co_await Call("/v3/kv/range", EncodeRange(prefix, PrefixEnd(prefix)));
  if (!response.ok()) co_return response.status();
  co_return DecodeRange(*response, CurrentAddress());
}

asio::awaitable<absl::StatusOr<StoreCompareAndSwapResult>>
StoreClient::CompareAndSwap(StoreCompareAndSwap swap) {
  const auto response = co_await Call("/v3/kv/txn", EncodeCompareAndSwap(swap));
  if (!response.ok()) co_return response.status();
  co_return DecodeCompareAndSwap(*response, CurrentAddress());
}

asio::awaitable<absl::StatusOr<int64_t>> StoreClient::GrantLease(
    int64_t ttl_seconds) {
  const auto response =
      co_await Call("/v3/lease/grant", EncodeLeaseGrant(ttl_seconds));
  if (!response.ok()) co_return response.status();
  co_return DecodeLeaseGrant(*response, CurrentAddress());
}

asio::awaitable<absl::Status> StoreClient::Watch(std::string prefix,
                                                 uint64_t start_revision,
                                                 Duration idle_timeout,
                                                 WatchHandler on_changes) {
  auto connected = co_await Connect();
  if (!connected.ok()) co_return connected.status();
  const std::unique_ptr<Connection> connection = *std::move(connected);
  const auto end_watch = [&](const ErrorCode& error) {
    watch_connection_ = nullptr;
    return StepError(absl::StatusCode::kUnavailable, Step::kStoreCall,
                     connection->address, error.message());
  };
  watch_connection_ = connection.get();
  ErrorCode error;
  const auto request = MakeRequest("/v3/watch", connection->address,
                                   EncodeWatch(prefix, start_revision));
  co_await http::async_write(connection->stream, request, Await(&error));
  if (error) co_return end_watch(error);
  connection->stream.expires_after(idle_timeout);
  std::optional<CheckedResponseParser<http::buffer_body>> parser;
  error = co_await ReadFinalResponseHeader(
      &connection->stream, &connection->buffer, &parser,
      [](CheckedResponseParser<http::buffer_body>* next) {
        next->body_limit(kUnlimitedBodyBytes);
      });
  if (!error && parser->get().result() != http::status::ok) {
    error = http::error::bad_status;
  }
  std::string pending;
  std::array<char, kWatchChunkBytes> chunk{};
  while (!error && !parser->is_done()) {
    parser->get().body().data = chunk.data();
    parser->get().body().size = chunk.size();
    connection->stream.expires_after(idle_timeout);
    error = co_await ReadMessageSome(&connection->stream, &connection->buffer,
                                     &*parser);
    if (error == http::error::need_buffer) error = {};
    const size_t searched_bytes = pending.size();
    pending.append(chunk.data(), chunk.size() - parser->get().body().size);
    if (pending.size() > kMaxResponseBytes) error = http::error::body_limit;
    for (const std::string& line : TakeLines(&pending, searched_bytes)) {
      const auto changes = DecodeWatchLine(line, connection->address);
      if (!changes.ok()) {
        watch_connection_ = nullptr;
        co_return changes.status();
      }
      on_changes(*changes);
    }
  }
  co_return end_watch(error);
}

void StoreClient::CancelWatch() {
  if (watch_connection_ != nullptr) watch_connection_->stream.cancel();
}

asio::awaitable<absl::StatusOr<std::string>> StoreClient::Call(
    std::string path, std::string body) {
  std::unique_ptr<Connection> connection;
  while (connection == nullptr && !idle_connections_.empty()) {
    connection = std::move(idle_connections_.back());
    idle_connections_.pop_back();
    // The service has closed the connection, or sent what no call asked for.
    if (!IsOpenAndIdle(connection->stream.socket())) connection = nullptr;
  }
  if (connection == nullptr) {
    auto connected = co_await Connect();
    if (!connected.ok()) co_return connected.status();
    connection = *std::move(connected);
  }
  connection->stream.expires_after(options_.call_timeout);
  ErrorCode error;
  const auto request = MakeRequest(path, connection->address, std::move(body));
  co_await http::async_write(connection->stream, request, Await(&error));
  std::optional<CheckedResponseParser<http::string_body>> parser;
  if (!error) {
    error = co_await ReadFinalResponse(
        &connection->stream, &connection->buffer, &parser,
        [](CheckedResponseParser<http::string_body>* next) {
          next->body_limit(kMaxResponseBytes);
        });
  }
  if (error) {
    // The idle connections lead to the same address and have probably failed
    // too.
    idle_connections_.clear();
    ++address_index_;
    co_return StepError(absl::StatusCode::kUnknown, Step::kStoreCall,
                        connection->address, error.message());
  }
  const std::string address = connection->address;
  const bool is_reusable =
      parser->keep_alive() && connection->buffer.size() == 0;
  if (is_reusable && idle_connections_.size() < kMaxIdleConnections) {
    idle_connections_.push_back(std::move(connection));
  }
  if (parser->get().result() != http::status::ok) {
    co_return StepError(absl::StatusCode::kUnknown, Step::kStoreCall, address,
                        parser->get().body());
  }
  co_return std::move(parser->get().body());
}

asio::awaitable<absl::StatusOr<std::unique_ptr<StoreClient::Connection>>>
StoreClient::Connect() {
  const auto executor = co_await asio::this_coro::executor;
  auto connection = std::make_unique<Connection>(executor);
  connection->address = CurrentAddress();
  const auto endpoint = ParseEndpoint(connection->address);
  if (!endpoint) {
    co_return StepError(absl::StatusCode::kUnavailable, Step::kStoreConnect,
                        connection->address, "no store address");
  }
  connection->stream.expires_after(options_.call_timeout);
  ErrorCode error;
  co_await connection->stream.async_connect(*endpoint, Await(&error));
  if (error) {
    ++address_index_;
    co_return StepError(absl::StatusCode::kUnavailable, Step::kStoreConnect,
                        connection->address, error.message());
  }
  co_return connection;
}

std::string StoreClient::CurrentAddress() const {
  if (options_.addresses.empty()) return "";
  return options_.addresses[address_index_ % options_.addresses.size()];
}

}  // namespace greengage
