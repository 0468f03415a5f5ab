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
#include "gg_request/target_rate_limiter.h"
#include "gg_request/target_status_table.h"
#include "gg_request/tenant_rate_limiter.h"
#include "gg_wire/entry_heartbeat_codec.h"

namespace greengage {

/** Sends this daemon's heartbeats to the other daemons and receives theirs. A
    heartbeat reports, for each target, the requests in flight, the slowness and
    whether the daemon sends it no requests for now; and for each target with a
    rate limit, the limit and this daemon's demand and requests; and the demand
    and requests of tenants with limits.

    Heartbeats are UDP datagrams, because a lost one is replaced by the next.
    Traffic thread only. */
class HeartbeatExchange {
 public:
  struct Options {
    std::string host_name;
    uint64_t incarnation = 0;
    std::string ip;
    uint16_t port = 0;
    /** Interval between heartbeats. The requests in flight change within one
        service time (0.2 to 1 s). At 250 ms the heartbeats between regions add
        less than 0.2 % to the present traffic between them. */
    Duration send_interval = std::chrono::milliseconds(250);
    /** The same in a fleet of more than `small_fleet_size` daemons. It is
        longer because the number of datagrams grows with the square of the
        fleet's size. */
    Duration large_fleet_send_interval = std::chrono::milliseconds(500);
    size_t small_fleet_size = 24;  // daemons, with this one
    /** How long the last heartbeat of a silent daemon is taken into account. */
    Duration peer_work_lifetime = std::chrono::milliseconds(2500);
  };

  struct Hooks {
    /** Receives the heartbeats of the other daemons, once a tick. */
    std::function<void(FleetEvent event)> on_event;
    /** Receives the newest position in the store's history that another daemon
        has seen. */
    std::function<void(StorePosition position)> on_store_position;
  };

  HeartbeatExchange(asio::io_context* context, Options options,
                    TargetStatusTable* board, TargetRateLimiter* rate_limiter,
                    TenantRateLimiter* tenant_limiter, Hooks hooks);

  //==============================================================================
  /** Binds the address and starts sending and receiving. An error names the
      address. */
  absl::Status Start();

  /** Sets the "ip:port" addresses that heartbeats are sent to.
      @param near_peers  daemons of this region; they get every heartbeat.
      @param far_peers  daemons of other regions; they get every fourth one. */
  void SetPeers(const std::vector<std::string>& near_peers,
                const std::vector<std::string>& far_peers);

  /** Sets whether this daemon can reach the store. */
  void SetStoreReachable(bool is_reachable) {
    is_store_reachable_ = is_reachable;
  }

  /** Sets the zones that are evacuated according to the store. */
  void SetEvacuatedZones(const std::set<std::string>& zones) {
    evacuated_zones_ = zones;
  }

  /** Sets the position of the newest change of the store that was seen. */
  void SetStorePosition(StorePosition position) { store_position_ = position; }

  /** Announces at once to all other daemons that this one is leaving. */
  void AnnounceLeaving();

  /** Passes what the other daemons report about targets to the
     TargetStatusTable, and drops expired reports. */
  void Tick(TimePoint now);

 private:
  /** What another daemon last reported about targets, by target hash. */
  struct PeerWork {
    std::map<uint64_t, TargetReport> targets;
    TimePoint received_at{};
  };

  void Receive();
  void OnDatagram(size_t count);
  void ScheduleSend();
  void SendTo(const std::vector<asio::ip::udp::endpoint>& peers,
              const std::string& datagram);
  std::string EncodeHeartbeat(TimePoint now);

  Options options_;
  TargetStatusTable* board_;           // not owned
  TargetRateLimiter* rate_limiter_;    // not owned
  TenantRateLimiter* tenant_limiter_;  // not owned
  Hooks hooks_;
  uint64_t far_round_offset_;
  asio::ip::udp::socket socket_;
  asio::steady_timer send_timer_;
  std::vector<asio::ip::udp::endpoint> near_peers_;
  std::vector<asio::ip::udp::endpoint> far_peers_;
  /** Newest heartbeat since the last tick, by host name. */
  std::map<std::string, PeerHeartbeat> pending_heartbeats_;
  std::map<std::string, PeerWork> peer_work_;  // by host name
  /** Holds any datagram. Aligned as the numbers in a heartbeat are read in
      place. */
  alignas(uint64_t) std::array<char, 64 * 1024> receive_buffer_{};
  asio::ip::udp::endpoint sender_;
  bool is_leaving_ = false;
  bool is_store_reachable_ = false;
  StorePosition store_position_;
  std::set<std::string> evacuated_zones_;
  uint64_t send_rounds_ = 0;
};

}  // namespace greengage

#endif  // GG_ENTRY_HEARTBEAT_EXCHANGE_H_
