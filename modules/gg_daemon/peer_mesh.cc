#include "gg_daemon/peer_mesh.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <deque>

#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"
#include "gg_insight/event_log.h"
#include "gg_insight/metrics.h"

namespace greengage {

/** Messages that wait to be sent to one peer. */
struct PeerMesh::OutgoingQueue {
  std::string address;
  std::deque<std::string> messages;
  size_t queued_bytes = 0;
  bool is_running = false;  // SendQueuedMessages() runs
  /** Cancelled when a message is queued. */
  std::optional<asio::steady_timer> wake_timer;
};

PeerMesh::PeerMesh(asio::io_context* context, Options options,
                   FrameHandler on_frame)
    : context_(context),
      options_(std::move(options)),
      on_frame_(std::move(on_frame)) {}

PeerMesh::~PeerMesh() = default;

absl::Status PeerMesh::Start() {
  const auto endpoint = ParseEndpoint(options_.self.address);
  ErrorCode error;
  acceptor_ = std::make_unique<asio::ip::tcp::acceptor>(*context_);
  acceptor_->open(endpoint->protocol(), error);
  acceptor_->set_option(asio::socket_base::reuse_address(true), error);
  acceptor_->bind(*endpoint, error);
  if (!error)
    acceptor_->listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return StepError(absl::StatusCode::kUnavailable, Step::kSettings,
                     options_.self.address,
                     absl::StrCat("cannot listen: ", error.message()));
  }
  asio::co_spawn(*context_, AcceptConnections(), asio::detached);
  return absl::OkStatus();
}

void PeerMesh::Send(const std::string& address, const PeerMessage& message) {
  std::string bytes =
      EncodeFrame({options_.deployment, options_.self, message});
  asio::post(*context_, [this, address, bytes = std::move(bytes)]() mutable {
    Enqueue(address, std::move(bytes));
  });
}

asio::awaitable<void> PeerMesh::AcceptConnections() {
  for (;;) {
    asio::ip::tcp::socket socket(*context_);
    ErrorCode error;
    co_await acceptor_->async_accept(socket, Await(&error));
    if (error) {
      co_await SleepFor(options_.retry_delay);
    } else if (incoming_connections_ < options_.max_incoming_connections) {
      asio::co_spawn(*context_, HandleConnection(std::move(socket)),
                     asio::detached);
    }
  }
}

asio::awaitable<void> PeerMesh::HandleConnection(asio::ip::tcp::socket socket) {
  ++incoming_connections_;
  ErrorCode error;
  const auto remote = socket.remote_endpoint(error);
  const std::string peer =
      error ? "unknown"
            : absl::StrCat(remote.address().to_string(), ":", remote.port());
  const absl::Status status = co_await ReceiveFrames(&socket, peer);
  if (!status.ok()) {
    options_.metrics->IncrementCounter("greengage_peer_frames_refused_total",
                                       "");
    LogError(Event::kPeerFrameRefused, status);
  }
  --incoming_connections_;
}

asio::awaitable<absl::Status> PeerMesh::ReceiveFrames(
    asio::ip::tcp::socket* socket, std::string peer) {
  ErrorCode error;
  std::string prefix(kFramePrefixBytes, '\0');
  std::string bytes;
  for (;;) {
    co_await asio::async_read(*socket, asio::buffer(prefix), Await(&error));
    if (error) co_return absl::OkStatus();  // closed by the peer
    const absl::StatusOr<size_t> size = DecodeFramePrefix(prefix, peer);
    if (!size.ok()) co_return size.status();
    bytes.resize(*size);
    co_await asio::async_read(*socket, asio::buffer(bytes), Await(&error));
    if (error) co_return absl::OkStatus();
    options_.metrics->IncrementCounter("greengage_peer_bytes_received_total",
                                       "", kFramePrefixBytes + bytes.size());
    absl::StatusOr<PeerFrame> frame =
        DecodeFrame(bytes, options_.deployment, peer);
    if (!frame.ok()) co_return frame.status();
    on_frame_(*std::move(frame));
  }
}

asio::awaitable<void> PeerMesh::SendQueuedMessages(
    std::shared_ptr<OutgoingQueue> outgoing) {
  const auto endpoint = ParseEndpoint(outgoing->address);
  boost::beast::tcp_stream stream(*context_);
  ErrorCode error;
  if (endpoint) {
    stream.expires_after(options_.connect_timeout);
    co_await stream.async_connect(*endpoint, Await(&error));
  }
  if (error || !endpoint) {
    LogEvent(LogLevel::kDebug, Event::kPeerUnreachable,
             absl::StrCat("peer=", outgoing->address, " ", error.message()));
    outgoing->messages.clear();
    outgoing->queued_bytes = 0;
    co_await SleepFor(options_.retry_delay);
    outgoing->is_running = false;
    co_return;
  }
  stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  while (!error) {
    if (outgoing->messages.empty()) {
      outgoing->wake_timer.emplace(*context_, options_.idle_timeout);
      ErrorCode wait_result;
      co_await outgoing->wake_timer->async_wait(Await(&wait_result));
      outgoing->wake_timer.reset();
      if (outgoing->messages.empty()) break;
    }
    const std::string bytes = std::move(outgoing->messages.front());
    outgoing->messages.pop_front();
    outgoing->queued_bytes -= bytes.size();
    options_.metrics->IncrementCounter("greengage_peer_bytes_sent_total", "",
                                       bytes.size());
    stream.expires_after(options_.write_timeout);
    co_await asio::async_write(stream, asio::buffer(bytes), Await(&error));
  }
  outgoing->is_running = false;
}

void PeerMesh::Enqueue(const std::string& address, std::string bytes) {
  std::shared_ptr<OutgoingQueue>& outgoing = outgoing_queues_[address];
  if (outgoing == nullptr) {
    outgoing = std::make_shared<OutgoingQueue>();
    outgoing->address = address;
  }
  if (outgoing->queued_bytes + bytes.size() > options_.max_queued_bytes) return;
  outgoing->queued_bytes += bytes.size();
  outgoing->messages.push_back(std::move(bytes));
  if (outgoing->wake_timer) outgoing->wake_timer->cancel();
  if (outgoing->is_running) return;
  outgoing->is_running = true;
  asio::co_spawn(*context_, SendQueuedMessages(outgoing), asio::detached);
}

}  // namespace greengage
