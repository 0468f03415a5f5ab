#ifndef GG_ENTRY_HEARTBEAT_EXCHANGE_H_
#define GG_ENTRY_HEARTBEAT_EXCHANGE_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "absl/status/status.h"
#include "gg_fleet/fleet_event.h"
#include "gg_http/http_types.h"
#include "gg_request/target_board.h"
#include "gg_wire/entry_heartbeat_codec.h"

namespace greengage {

/** Sends this daemon's work in flight to the other daemons and takes theirs.

    Datagrams, because a lost one is replaced by the next. Traffic thread only.
 */
class HeartbeatExchange {
 public:
  struct Options {
    std::string host_name;
    uint64_t incarnation = 0;
    std::string ip;
    uint16_t port = 0;
    /** Work changes within a service time (0.2 to 1 s); a quarter second keeps
        the traffic between regions below 0.2 % of today's. */
    Duration interval = std::chrono::milliseconds(250);
    /** The same in a fleet of more daemons than `small_fleet`, whose datagrams
        grow with the square of its size. */
    Duration large_interval = std::chrono::milliseconds(500);
    size_t small_fleet = 24;
    /** After this what a silent daemon told no longer counts. */
    Duration work_lifetime = std::chrono::milliseconds(2500);
  };

  struct Hooks {
    std::function<void(FleetEvent event)> on_event;
    /** A daemon has seen this revision of the store. */
    std::function<void(uint64_t revision)> on_store_revision;
  };

  HeartbeatExchange(asio::io_context* context, Options options,
                    TargetBoard* board, Hooks hooks);

  //==============================================================================
  /** Binds and starts; an error names the address. */
  absl::Status Start();

  /** Sets where heartbeats go: daemons of the own region get each one, of
     others every fourth. */
  void SetPeers(const std::vector<std::string>& near_peers,
                const std::vector<std::string>& far_peers);

  /** Sets whether the store answers this daemon. */
  void SetStoreReachable(bool is_reachable) { store_reachable_ = is_reachable; }

  /** Sets the zones that the store says to leave without work. */
  void SetEvacuated(const std::set<std::string>& zones) { evacuated_ = zones; }

  /** Sets the revision of the newest change in the store that was seen. */
  void SetStoreRevision(uint64_t revision) { store_revision_ = revision; }

  /** Tells the others at once that this daemon leaves. */
  void Leave();

  /** Gives the board the others' work; forgets what is old. */
  void Tick(TimePoint now);

 private:
  struct PeerWork {
    std::map<uint64_t, TargetNote> targets;
    TimePoint heard_at{};
  };

  void Receive();
  void OnDatagram(size_t count);
  void ScheduleSend();
  void SendTo(const std::vector<asio::ip::udp::endpoint>& peers,
              const std::string& datagram);
  std::string MakeDatagram(TimePoint now) const;

  Options options_;
  TargetBoard* board_;  // not owned
  Hooks hooks_;
  asio::ip::udp::socket socket_;
  asio::steady_timer timer_;
  std::vector<asio::ip::udp::endpoint> near_;
  std::vector<asio::ip::udp::endpoint> far_;
  std::map<std::string, PeerHeartbeat> heard_;  // since the last tick
  std::map<std::string, PeerWork> work_;        // by host name
  /** Room for 1,500 targets with work; a longer datagram is refused. */
  std::array<char, 24 * 1024> datagram_{};
  asio::ip::udp::endpoint sender_;
  bool is_leaving_ = false;
  bool store_reachable_ = false;
  uint64_t store_revision_ = 0;
  std::set<std::string> evacuated_;
  uint64_t rounds_ = 0;
};

}  // namespace greengage

#endif  // GG_ENTRY_HEARTBEAT_EXCHANGE_H_
