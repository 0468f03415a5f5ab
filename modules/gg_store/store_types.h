#ifndef GG_STORE_STORE_TYPES_H_
#define GG_STORE_STORE_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace greengage {

/** Key with its value as it stands in the store. */
struct StoreEntry {
  std::string key;
  std::string value;
  uint64_t mod_revision = 0;
};

/** Answer to a read. */
struct StoreReadResult {
  uint64_t store_revision = 0;  // of the store as a whole
  std::vector<StoreEntry> entries;
};

/** One put of a transaction. */
struct StorePut {
  std::string key;
  std::string value;
  int64_t lease = 0;  // 0: none
};

/** Compare-and-swap: all puts are made if `key` still has
    `expected_revision`. */
struct StoreCompareAndSwap {
  std::string key;
  uint64_t expected_revision = 0;  // 0: the key must not exist
  std::vector<StorePut> puts;
};

/** Answer to a compare-and-swap. */
struct StoreCompareAndSwapResult {
  bool succeeded = false;
  uint64_t revision = 0;  // of the puts, when it succeeded
  std::optional<StoreEntry>
      current_entry;  // what stands there, when it did not
};

}  // namespace greengage

#endif  // GG_STORE_STORE_TYPES_H_
