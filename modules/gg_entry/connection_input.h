#ifndef GG_ENTRY_CONNECTION_INPUT_H_
#define GG_ENTRY_CONNECTION_INPUT_H_

#include <vector>

#include "gg_http/http_types.h"

namespace greengage {

/** Bytes of a connection that were read and not parsed yet.

    Reads go to an area of their own. A parser that consumes or moves the
    unparsed bytes therefore never touches memory that an outstanding read
    writes to. */
class ConnectionInput {
 public:
  /** Returns where the next read stores at most `size` bytes. Only one read may
      be outstanding. */
  asio::mutable_buffer read_area(size_t size) {
    if (read_area_.size() != size) {
      read_area_.resize(size);
      read_area_.shrink_to_fit();
    }
    return asio::buffer(read_area_);
  }

  /** Appends the bytes that a read has stored to the unparsed ones. */
  void Append(size_t count) {
    unparsed_.commit(asio::buffer_copy(unparsed_.prepare(count),
                                       asio::buffer(read_area_, count)));
  }

  /** Discards the unparsed bytes. */
  void Clear() {
    unparsed_.clear();
    FreeUnused();
  }

  /** Frees the memory for reads, while none is outstanding. */
  void FreeReadArea() { read_area_ = {}; }

  /** Frees the memory of unparsed bytes when there are none. */
  void FreeUnused() {
    if (unparsed_.size() == 0 && unparsed_.capacity() > kMaxUnusedBytes) {
      unparsed_.shrink_to_fit();
    }
  }

  /** Returns the memory taken by unparsed bytes. */
  size_t allocated_bytes() const { return unparsed_.capacity(); }

  beast::flat_buffer& unparsed() { return unparsed_; }
  size_t size() const { return unparsed_.size(); }

 private:
  static constexpr size_t kMaxUnusedBytes = 4 * 1024;

  std::vector<char> read_area_;
  beast::flat_buffer unparsed_;
};

}  // namespace greengage

#endif  // GG_ENTRY_CONNECTION_INPUT_H_
