#ifndef GG_ENTRY_RELAYED_WATCH_H_
#define GG_ENTRY_RELAYED_WATCH_H_

#include <memory>
#include <string>

#include "gg_entry/entry_platform.h"

namespace greengage {

/** Watches the store's changes through the zone's relay, or directly when the
    zone has no relay.

    In a large fleet most calls of the store are watches that return: each
    change is reported once to every daemon. With relays it is reported once per
    zone. When the connection to the relay ends, or the relay is found to lag
    behind, the store is watched directly for a while. Traffic thread only. */
class RelayedWatch {
 public:
  struct Options {
    /** How long the store is watched directly after a relay failed. This is
        longer than a daemon's restart takes, and long enough for several
        watches to return when changes are frequent. */
    Duration direct_watch_time = std::chrono::seconds(8);
    /** Time limit for connecting to the relay. A round trip within a zone takes
        less than a millisecond. */
    Duration connect_timeout = std::chrono::milliseconds(200);
  };

  RelayedWatch(asio::io_context* context, Options options, KeyValueStore store);
  ~RelayedWatch();

  //==============================================================================
  /** Returns the store's hooks with `watch` and `cancel_watch` replaced by this
      object's. This object must outlive them. */
  KeyValueStore StoreWithRelayedWatch();

  /** Sets the "ip:port" address of the relay; empty when there is none. Closes
      the connection to another relay. */
  void SetRelayAddress(const std::string& address);

  /** Waits for changes; see KeyValueStore. There is no time limit for a relay,
      because the revisions in heartbeats show when it has stopped sending. */
  asio::awaitable<absl::StatusOr<KeyValueReadResult>> Watch(StorePosition after,
                                                            Duration wait);

  /** Cancels a pending watch: closes the connection to the relay and switches
      to the store, or cancels the store's watch. */
  void CancelWatch();

 private:
  struct Connection;

  asio::awaitable<absl::StatusOr<KeyValueReadResult>> ReadFromRelay(
      StorePosition after);
  asio::awaitable<absl::Status> Connect(StorePosition after);
  bool ShouldUseRelay() const;
  void CloseConnection();

  asio::io_context* context_;  // not owned
  Options options_;
  KeyValueStore store_;
  std::string relay_address_;
  std::shared_ptr<Connection> connection_;
  bool is_reading_relay_ = false;
  TimePoint direct_watch_until_{};
};

}  // namespace greengage

#endif  // GG_ENTRY_RELAYED_WATCH_H_
