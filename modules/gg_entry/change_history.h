#ifndef GG_ENTRY_CHANGE_HISTORY_H_
#define GG_ENTRY_CHANGE_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "gg_core/key_value.h"

namespace greengage {

/** The store's newest changes, for daemons that hear of them from this one.
    Traffic thread only. */
class ChangeHistory {
 public:
  struct Options {
    /** Bytes of keys and values that are kept: some 2,000 targets' entries. */
    size_t most_bytes = size_t{512} * 1024;
  };

  explicit ChangeHistory(Options options) : options_(options) {}

  /** Starts anew: what comes after `revision` will be added. */
  void Reset(uint64_t revision);

  /** Adds changes in the order in which the store told them. */
  void Add(const KeyValueReadResult& changes);

  /** Returns the changes after `revision`; nothing when they are not all there
      any more, or none were read yet. */
  std::optional<KeyValueReadResult> After(uint64_t revision) const;

 private:
  Options options_;
  std::deque<KeyValueItem> items_;
  size_t bytes_ = 0;
  std::optional<uint64_t> complete_after_;  // all later changes are in items_
  uint64_t store_revision_ = 0;
};

}  // namespace greengage

#endif  // GG_ENTRY_CHANGE_HISTORY_H_
