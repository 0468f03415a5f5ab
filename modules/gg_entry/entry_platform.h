#ifndef GG_ENTRY_ENTRY_PLATFORM_H_
#define GG_ENTRY_ENTRY_PLATFORM_H_

#include <functional>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "gg_core/key_value.h"
#include "gg_entry/entry_settings.h"
#include "gg_entry/message_codec.h"
#include "gg_fleet/fleet_event.h"
#include "gg_store/asio.h"

namespace greengage {

/** Calls of the key-value store; see the adapter for their errors. */
struct KeyValueStore {
  std::function<asio::awaitable<absl::StatusOr<KeyValueReadResult>>(
      std::string after)>
      read_page;
  std::function<asio::awaitable<absl::StatusOr<KeyValueReadResult>>(
      uint64_t after, Duration wait)>
      watch;
  /** Breaks off a watch that waits. */
  std::function<void()> cancel_watch;
  std::function<asio::awaitable<absl::Status>(Member member, uint64_t lease)>
      put_member;
  std::function<asio::awaitable<absl::StatusOr<uint64_t>>(Duration lifetime)>
      grant_lease;
  std::function<asio::awaitable<absl::Status>(uint64_t lease)> renew_lease;
  std::function<asio::awaitable<absl::Status>(uint64_t lease)> end_lease;
};

/** Everything that depends on the platform, filled in by its adapter. */
struct EntryPlatform {
  std::function<absl::StatusOr<EntrySettings>()> read_settings;
  std::function<KeyValueStore(asio::io_context* context,
                              const std::string& address)>
      open_store;
  /** What an item means; nothing when it means nothing to us. */
  std::function<std::optional<FleetEvent>(
      const std::string& key, const std::optional<std::string>& value)>
      decode_item;
  MessageCodec messages;
};

}  // namespace greengage

#endif  // GG_ENTRY_ENTRY_PLATFORM_H_
