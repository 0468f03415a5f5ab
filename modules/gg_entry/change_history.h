#ifndef GG_ENTRY_CHANGE_HISTORY_H_
#define GG_ENTRY_CHANGE_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "gg_core/key_value.h"
#include "gg_core/store_position.h"

namespace greengage {

/** The most recent changes of the store, from which the relay serves other
    daemons. Traffic thread only. */
class ChangeHistory {
 public:
  struct Options {
    /** Upper bound on the bytes of keys and values kept. 512 KiB holds the
        entries of about 2,000 targets. */
    size_t max_bytes = size_t{512} * 1024;
  };

  explicit ChangeHistory(Options options) : options_(options) {}

  /** Clears the history. All changes after `position`, of the same era, will be
      added. */
  void Reset(StorePosition position);

  /** Adds changes, in the order in which the store reported them. Drops the
      oldest changes when the size limit is exceeded. */
  void Add(const KeyValueReadResult& changes);

  /** Returns all changes after `position`, or nothing when it is of another
      era, some of them were dropped, or the store was not read yet. */
  std::optional<KeyValueReadResult> ChangesAfter(StorePosition position) const;

 private:
  Options options_;
  std::deque<KeyValueItem> items_;
  size_t bytes_ = 0;
  // All changes after this position are in items_; empty before the first read.
  std::optional<StorePosition> complete_after_;
  uint64_t store_revision_ = 0;
};

}  // namespace greengage

#endif  // GG_ENTRY_CHANGE_HISTORY_H_
