#ifndef GG_STEERING_ORDER_KEY_H_
#define GG_STEERING_ORDER_KEY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengage {

/** Idempotency key that a daemon issues with a look-up.

    An order is a request with an idempotency key. The key names the only
    process that may run the order, by traffic address and incarnation.
    `expires_seconds` counts on the issuer's monotonic clock from its start, and
    only the issuer evaluates it. `keyed_hash` covers the other fields, so that
    keys cannot be invented. The text form is
    "gg1-<address>-<incarnation>-<sequence>-<expires>-<check>". */
struct OrderKey {
  std::string address;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  uint64_t expires_seconds = 0;
  uint64_t keyed_hash = 0;

  friend bool operator==(const OrderKey&, const OrderKey&) = default;
};

/** Returns the hash of the other fields of `key`, which `key.keyed_hash` must
    equal, under the issuer's `secret`. */
uint64_t OrderKeyHash(const OrderKey& key, uint64_t secret);

/** Returns the text form of `key`. */
std::string FormatOrderKey(const OrderKey& key);

/** Parses the text form. Returns nothing when `text` does not have this form
    and is therefore a key of the caller's own. */
std::optional<OrderKey> ParseOrderKey(std::string_view text);

}  // namespace greengage

#endif  // GG_STEERING_ORDER_KEY_H_
