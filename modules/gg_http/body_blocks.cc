#include "gg_http/body_blocks.h"

#include <algorithm>
#include <cstring>

namespace greengage {
namespace {

/** Smallest block, except for a body that arrives as a whole. */
constexpr size_t kMinBlockBytes = 256;

}  // namespace

void BodyBlocks::Append(const char* bytes, size_t count) {
  if (count == 0) return;
  if (data_ == nullptr) data_ = std::make_shared<Data>();
  while (count > 0) {
    if (data_->blocks.empty() ||
        data_->blocks.back().size == data_->blocks.back().capacity) {
      // Blocks grow with the body, so that a body in small pieces takes at most
      // twice its size, or one block more.
      const size_t grown = data_->size == 0
                               ? count
                               : std::max({data_->size, count, kMinBlockBytes});
      const size_t capacity = std::min(grown, kMaxBlockBytes);
      data_->blocks.push_back(
          {std::make_unique_for_overwrite<char[]>(capacity), 0, capacity});
      data_->allocated_bytes += capacity;
    }
    Block& block = data_->blocks.back();
    const size_t part = std::min(count, block.capacity - block.size);
    std::memcpy(block.bytes.get() + block.size, bytes, part);
    block.size += part;
    data_->size += part;
    bytes += part;
    count -= part;
  }
}

void BodyBlocks::KeepHold(MemoryHold hold) {
  if (data_ != nullptr) data_->hold = std::move(hold);
}

std::string BodyBlocks::ToString() const {
  std::string text;
  text.reserve(size());
  for (size_t i = 0; i < block_count(); ++i) {
    text.append(static_cast<const char*>(block(i).data()), block(i).size());
  }
  return text;
}

}  // namespace greengage
