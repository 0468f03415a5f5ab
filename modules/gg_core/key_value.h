#ifndef GG_CORE_KEY_VALUE_H_
#define GG_CORE_KEY_VALUE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace greengage {

/** An item of the key-value store, or the deletion of its key. */
struct KeyValueItem {
  std::string key;
  std::optional<std::string> value;  // nullopt: deleted
  uint64_t revision = 0;             // of the key's last change
};

/** Result of a read or a watch of the key-value store. */
struct KeyValueReadResult {
  std::vector<KeyValueItem> items;
  uint64_t store_revision = 0;  // at which the items are current
  uint64_t era = 0;             // see StorePosition
  bool has_more = false;        // reads only: continue after the last key
  /** Relayed by another daemon. Such a result does not show whether the store
      answers this daemon, and its changes may have been collected over some
      time by the relay. */
  bool is_relayed = false;
};

/** An unconditional, atomic write of one key. */
struct KeyValueWrite {
  std::string key;
  std::string value;
  uint64_t lease = 0;  // 0: no lease
};

}  // namespace greengage

#endif  // GG_CORE_KEY_VALUE_H_
