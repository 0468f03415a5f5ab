#include "gg_entry/change_history.h"

#include <algorithm>

namespace greengage {
namespace {

size_t BytesOf(const KeyValueItem& item) {
  return item.key.size() + (item.value ? item.value->size() : 0);
}

}  // namespace

void ChangeHistory::Reset(uint64_t revision) {
  items_.clear();
  bytes_ = 0;
  complete_after_ = revision;
  store_revision_ = revision;
}

void ChangeHistory::Add(const KeyValueReadResult& changes) {
  for (const KeyValueItem& item : changes.items) {
    items_.push_back(item);
    bytes_ += BytesOf(item);
  }
  store_revision_ = std::max(store_revision_, changes.store_revision);
  while (bytes_ > options_.max_bytes && items_.size() > 1) {
    bytes_ -= BytesOf(items_.front());
    complete_after_ =
        std::max(complete_after_.value_or(0), items_.front().revision);
    items_.pop_front();
  }
}

std::optional<KeyValueReadResult> ChangeHistory::ChangesAfter(
    uint64_t revision) const {
  if (!complete_after_ || revision < *complete_after_) return std::nullopt;
  KeyValueReadResult changes{.store_revision = store_revision_};
  for (const KeyValueItem& item : items_) {
    if (item.revision > revision) changes.items.push_back(item);
  }
  return changes;
}

}  // namespace greengage
