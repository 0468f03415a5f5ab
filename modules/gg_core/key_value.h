#ifndef GG_CORE_KEY_VALUE_H_
#define GG_CORE_KEY_VALUE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace greengage {

/** One item of the store, or the note that its key was deleted. */
struct KeyValueItem {
  std::string key;
  std::optional<std::string> value;  // nothing: deleted
  uint64_t revision = 0;             // of the last change
};

/** Answer to a read or a watch. */
struct KeyValueReadResult {
  std::vector<KeyValueItem> items;
  uint64_t store_revision = 0;  // as of which the items stand
  bool has_more = false;        // of a read: ask again after the last key
  /** Told by another daemon: says nothing about the store's own answers, and
      changes that come together were gathered there. */
  bool is_relayed = false;
};

/** A change that is made as a whole, without a condition. */
struct KeyValueWrite {
  std::string key;
  std::string value;
  uint64_t lease = 0;  // 0: none
};

}  // namespace greengage

#endif  // GG_CORE_KEY_VALUE_H_
