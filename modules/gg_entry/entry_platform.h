#ifndef GG_ENTRY_ENTRY_PLATFORM_H_
#define GG_ENTRY_ENTRY_PLATFORM_H_

#include <functional>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "gg_core/key_value.h"
#include "gg_core/store_position.h"
#include "gg_entry/entry_settings.h"
#include "gg_entry/message_codec.h"
#include "gg_fleet/fleet_event.h"
#include "gg_store/asio.h"

namespace greengage {

/** Client of the key-value store, as a set of hooks. The adapter documents the
    errors. All hooks are called on the traffic thread. */
struct KeyValueStore {
  /** Reads the next page of items, starting after the key `after`. */
  std::function<asio::awaitable<absl::StatusOr<KeyValueReadResult>>(
      std::string after)>
      read_page;
  /** Waits at most `wait` for changes after the position `after`. Fails with
      kOutOfRange when the store no longer has all of them, and with kCancelled
      after `cancel_watch`. The result may be of another era; then it does not
      continue from `after`. */
  std::function<asio::awaitable<absl::StatusOr<KeyValueReadResult>>(
      StorePosition after, Duration wait)>
      watch;
  /** Cancels a pending watch. */
  std::function<void()> cancel_watch;
  /** Returns when a watch last received a part of its response; TimePoint{} if
      none has yet. */
  std::function<TimePoint()> watch_progress_at;
  /** Returns the newest era that a response named, also one of a lease or an
      error; 0: none. */
  std::function<uint64_t()> newest_era;
  /** Writes a daemon's entry, which lasts as long as its lease. */
  std::function<asio::awaitable<absl::Status>(Member member, uint64_t lease)>
      put_member;
  /** Grants a lease and returns its identifier. */
  std::function<asio::awaitable<absl::StatusOr<uint64_t>>(Duration lifetime)>
      grant_lease;
  /** Renews a lease. Fails with kNotFound when it has expired. */
  std::function<asio::awaitable<absl::Status>(uint64_t lease)> renew_lease;
  /** Ends a lease, which removes the entries written under it. */
  std::function<asio::awaitable<absl::Status>(uint64_t lease)> revoke_lease;
};

/** All functions that depend on the platform, supplied by its adapter. */
struct EntryPlatform {
  /** Reads the settings. Called at start, periodically and on SIGHUP. */
  std::function<absl::StatusOr<EntrySettings>()> read_settings;
  /** Returns a client of the store at `address`. */
  std::function<KeyValueStore(asio::io_context* context,
                              const std::string& address)>
      open_store;
  /** Decodes an item of the store; returns nothing for an item that does not
      concern the daemon. `value` is empty when the key was deleted. */
  std::function<std::optional<FleetEvent>(
      const std::string& key, const std::optional<std::string>& value)>
      decode_item;
  MessageCodec message_codec;
};

}  // namespace greengage

#endif  // GG_ENTRY_ENTRY_PLATFORM_H_
