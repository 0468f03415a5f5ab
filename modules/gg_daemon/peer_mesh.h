#ifndef GG_DAEMON_PEER_MESH_H_
#define GG_DAEMON_PEER_MESH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "gg_core/time.h"
#include "gg_store/asio.h"
#include "gg_wire/frame_codec.h"

namespace greengage {

class Metrics;

/** Exchanges frames between daemons over TCP.

    Each daemon sends on the connections that it opened and receives on those
    that it accepted. Messages are dropped when the peer is unreachable or its
    queue is full; the controller sends important state again. An invalid frame,
    or one of another protocol version or deployment, closes the connection on
    which it arrived.

    All methods except Send() must be called on the io_context's thread. */
class PeerMesh {
 public:
  struct Options {
    std::string deployment;
    HostId self;
    Metrics* metrics = nullptr;  // not owned
    Duration connect_timeout = std::chrono::seconds(1);
    Duration write_timeout = std::chrono::seconds(5);
    Duration retry_delay = std::chrono::milliseconds(300);
    Duration idle_timeout = std::chrono::minutes(2);
    size_t max_queued_bytes = 4 * 1024 * 1024;  // per peer
    size_t max_incoming_connections = 4096;
  };

  /** Called on the io_context's thread for each valid frame that arrives. */
  using FrameHandler = std::function<void(PeerFrame frame)>;

  PeerMesh(asio::io_context* context, Options options, FrameHandler on_frame);
  ~PeerMesh();
  PeerMesh(const PeerMesh&) = delete;
  PeerMesh& operator=(const PeerMesh&) = delete;

  //==============================================================================
  /** Listens on the address of `options.self`.
      @return kUnavailable with the address when it cannot be bound. */
  absl::Status Start();

  /** Queues a message for the daemon at `address`, an "ip:port". May be called
      from any thread. */
  void Send(const std::string& address, const PeerMessage& message);

 private:
  struct OutgoingQueue;

  asio::awaitable<void> AcceptConnections();
  asio::awaitable<void> HandleConnection(asio::ip::tcp::socket socket);
  asio::awaitable<absl::Status> ReceiveFrames(asio::ip::tcp::socket* socket,
                                              std::string peer);
  asio::awaitable<void> SendQueuedMessages(
      std::shared_ptr<OutgoingQueue> outgoing);
  void Enqueue(const std::string& address, std::string bytes);

  asio::io_context* context_;  // not owned
  Options options_;
  FrameHandler on_frame_;
  std::unique_ptr<asio::ip::tcp::acceptor> acceptor_;
  std::map<std::string, std::shared_ptr<OutgoingQueue>> outgoing_queues_;
  size_t incoming_connections_ = 0;
};

}  // namespace greengage

#endif  // GG_DAEMON_PEER_MESH_H_
