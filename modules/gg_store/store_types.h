#ifndef GG_STORE_STORE_TYPES_H_
#define GG_STORE_STORE_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace greengage {

/** Key and value of an entry in the store. */
struct StoreEntry {
  std::string key;
  std::string value;
  uint64_t mod_revision = 0;  // revision of the last change of the key
};

/** Result of a read, or one batch of changes of a watch. */
struct StoreReadResult {
  uint64_t store_revision = 0;  // of the whole store
  std::vector<StoreEntry> entries;
};

/** Key and value that a transaction writes. */
struct StorePut {
  std::string key;
  std::string value;
  int64_t lease = 0;  // identifier; 0: none
};

/** Compare-and-swap: executes all puts in one transaction if the mod_revision
    of `key` equals `expected_revision`. */
struct StoreCompareAndSwap {
  std::string key;
  uint64_t expected_revision = 0;  // 0: the key must not exist
  std::vector<StorePut> puts;
};

/** Result of a compare-and-swap. */
struct StoreCompareAndSwapResult {
  bool succeeded = false;
  uint64_t revision = 0;  // of the puts, when it succeeded
  /** Entry of `key` when it did not succeed; nullopt when there is none. */
  std::optional<StoreEntry> current_entry;
};

}  // namespace greengage

#endif  // GG_STORE_STORE_TYPES_H_
