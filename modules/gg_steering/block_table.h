#ifndef GG_STEERING_BLOCK_TABLE_H_
#define GG_STEERING_BLOCK_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace greengage {

/** One /24 block of client addresses and the site that serves it. */
struct BlockEntry {
  uint32_t block = 0;  // the upper 24 bits of an IPv4 address
  uint8_t site = 0;    // BlockTable::kNoSite: not in the table

  friend bool operator==(const BlockEntry&, const BlockEntry&) = default;
};

/** Maps /24 blocks of client addresses to sites: millions of blocks, up to 254
    sites.

    The table has two levels, with one page of 256 sites for each /16 range that
    contains a block. A look-up is two array reads and a change writes one byte.
    The pages of each /8 range have a digest, by which two daemons find the
    ranges that differ.

    Not thread-safe; threads that only read may use a copy. */
class BlockTable {
 public:
  /** Site of a block that is not in the table. */
  static constexpr uint8_t kNoSite = 255;

  BlockTable();

  //==============================================================================
  /** Sets the site of one block; kNoSite removes the block. */
  void Set(BlockEntry entry);

  /** Returns the site of the block that holds `address`.
      @param address  IPv4 in host byte order. */
  uint8_t SiteOf(uint32_t address) const;

  /** Returns the number of blocks. */
  size_t size() const { return size_; }

  /** Returns the allocated memory in bytes. */
  size_t MemoryBytes() const;

  //==============================================================================
  /** Returns the digests of the 256 /8 ranges, in order. */
  std::vector<uint64_t> Digests() const;

  /** Returns a /8 range in run-length encoding: for each run of blocks with the
      same site, the site as one byte and the length as a varint. */
  std::string EncodeRange(uint8_t range) const;

  /** Replaces a /8 range by one from EncodeRange(); kDataLoss when `bytes` is
      malformed, in which case the table does not change. */
  absl::Status DecodeRange(uint8_t range, std::string_view bytes);

 private:
  static constexpr size_t kPageSize = 256;
  static constexpr uint32_t kNoPage = ~uint32_t{0};

  std::vector<uint32_t> page_by_prefix_;  // page index by /16 prefix
  std::vector<uint8_t> sites_;            // concatenated pages
  size_t size_ = 0;
};

}  // namespace greengage

#endif  // GG_STEERING_BLOCK_TABLE_H_
