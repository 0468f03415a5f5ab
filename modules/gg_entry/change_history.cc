#include "gg_entry/change_history.h"

#include <algorithm>

namespace greengage {
namespace {

size_t BytesOf(const KeyValueItem& item) {
  return item.key.size() + (item.value ? item.value->size() : 0);
}

}  // namespace

void ChangeHistory::Reset(StorePosition position) {
  items_.clear();
  bytes_ = 0;
  complete_after_ = position;
  store_revision_ = position.revision;
}

void ChangeHistory::Add(const KeyValueReadResult& changes) {
  for (const KeyValueItem& item : changes.items) {
    items_.push_back(item);
    bytes_ += BytesOf(item);
  }
  store_revision_ = std::max(store_revision_, changes.store_revision);
  while (bytes_ > options_.max_bytes && items_.size() > 1) {
    bytes_ -= BytesOf(items_.front());
    if (complete_after_) {
      complete_after_->revision =
          std::max(complete_after_->revision, items_.front().revision);
    }
    items_.pop_front();
  }
}

std::optional<KeyValueReadResult> ChangeHistory::ChangesAfter(
    StorePosition position) const {
  const bool is_known = complete_after_ &&
                        position.era == complete_after_->era &&
                        position.revision >= complete_after_->revision;
  if (!is_known) return std::nullopt;
  KeyValueReadResult changes{.store_revision = store_revision_,
                             .era = position.era};
  for (const KeyValueItem& item : items_) {
    if (item.revision > position.revision) changes.items.push_back(item);
  }
  return changes;
}

}  // namespace greengage
