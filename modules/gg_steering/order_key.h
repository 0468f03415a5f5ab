#ifndef GG_STEERING_ORDER_KEY_H_
#define GG_STEERING_ORDER_KEY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengage {

/** Idempotency key issued by a daemon with a look-up.

    It names the one process that may run requests with this key: the traffic
    address and the incarnation. `expires_seconds` is in seconds of the issuer's
    monotonic clock since its start, and only the issuer compares it.
   `keyed_hash` is a keyed hash over the other fields, so that no key can be
   made up. Written "gg1-<address>-<incarnation>-<sequence>-<expires>-<check>".
 */
struct OrderKey {
  std::string address;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  uint64_t expires_seconds = 0;
  uint64_t keyed_hash = 0;

  friend bool operator==(const OrderKey&, const OrderKey&) = default;
};

/** Returns the hash that `key.check` must equal under the issuer's `secret`. */
uint64_t OrderKeyHash(const OrderKey& key, uint64_t secret);

/** Returns the text form of `key`. */
std::string FormatOrderKey(const OrderKey& key);

/** Parses the text form; nothing when `text` is no issued key, in which case it
    is a key of the caller's own. */
std::optional<OrderKey> ParseOrderKey(std::string_view text);

}  // namespace greengage

#endif  // GG_STEERING_ORDER_KEY_H_
