#ifndef GG_ENTRY_RELAYED_WATCH_H_
#define GG_ENTRY_RELAYED_WATCH_H_

#include <memory>
#include <string>

#include "gg_entry/entry_platform.h"

namespace greengage {

/** Hears of the store's changes from a daemon of the zone where there is one,
    and from the store otherwise.

    In a large fleet most calls of the store are watches that return: each
   change once for every daemon. With a relay it is told once for every zone.
   Whenever the relay's connection ends, or its word is found to be late, the
   store is watched for a while. Traffic thread only. */
class RelayedWatch {
 public:
  struct Options {
    /** How long the store is watched after a relay failed: some returns of a
        watch on a day with changes, and longer than a restart takes. */
    Duration direct_time = std::chrono::seconds(8);
    /** A way and back within a zone takes less than a millisecond. */
    Duration connect_timeout = std::chrono::milliseconds(200);
  };

  RelayedWatch(asio::io_context* context, Options options, KeyValueStore store);
  ~RelayedWatch();

  //==============================================================================
  /** Returns the store's calls, with this object's watch instead of its own. */
  KeyValueStore Calls();

  /** Sets the daemon to hear from, "ip:port"; empty: there is none. */
  void SetRelay(const std::string& address);

  /** Waits for changes; see KeyValueStore. A relay is waited for without a time
      limit: whether it has fallen silent, heartbeats tell. */
  asio::awaitable<absl::StatusOr<KeyValueReadResult>> Watch(uint64_t after,
                                                            Duration wait);

  /** Goes over to the store, or breaks off the store's watch. */
  void Cancel();

 private:
  struct Link;

  asio::awaitable<absl::StatusOr<KeyValueReadResult>> Listen(uint64_t after);
  asio::awaitable<absl::Status> Connect(uint64_t after);
  bool UsesRelay() const;
  void Close();

  asio::io_context* context_;  // not owned
  Options options_;
  KeyValueStore store_;
  std::string address_;
  std::shared_ptr<Link> link_;
  bool is_listening_ = false;
  TimePoint direct_until_{};
};

}  // namespace greengage

#endif  // GG_ENTRY_RELAYED_WATCH_H_
