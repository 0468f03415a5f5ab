#ifndef GG_CORE_STORE_POSITION_H_
#define GG_CORE_STORE_POSITION_H_

#include <compare>
#include <cstdint>

namespace greengage {

/** A point in the history of the key-value store.

    Revisions increase within an era. When the store is restored from an older
    copy, it gives out the revisions after the copy again, in a new era.
    Positions of two eras are therefore ordered by era first. */
struct StorePosition {
  uint64_t era = 0;  // 0: the store names no eras
  uint64_t revision = 0;

  friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
};

}  // namespace greengage

#endif  // GG_CORE_STORE_POSITION_H_
