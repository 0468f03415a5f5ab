#ifndef GG_STEERING_BLOCK_TABLE_H_
#define GG_STEERING_BLOCK_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace greengage {

/** One block of client addresses and the site that serves it. */
struct BlockEntry {
  uint32_t block = 0;  // the upper 24 bits of an IPv4 address
  uint8_t site = 0;

  friend bool operator==(const BlockEntry&, const BlockEntry&) = default;
};

/** Maps blocks of clients to sites: millions of /24 blocks, up to 254 sites.

    Two levels: one page of 256 sites for each /16 that has a block, so a
   look-up is two array reads and a change touches one byte. Pages have a
   digest, by which two daemons find what differs.

    One thread at a time may change it; others may read a copy. */
class BlockTable {
 public:
  /** Site of a block that the table does not hold. */
  static constexpr uint8_t kNoSite = 255;

  BlockTable();

  //==============================================================================
  /** Sets the site of one block; kNoSite takes the block out. */
  void Set(BlockEntry entry);

  /** Returns the site of the block that holds `address`.
      @param address  IPv4 in host byte order. */
  uint8_t SiteOf(uint32_t address) const;

  size_t size() const { return size_; }

  /** Returns the bytes of memory held. */
  size_t MemoryBytes() const;

  //==============================================================================
  /** Returns one digest for each of the 256 /8 ranges. */
  std::vector<uint64_t> Digests() const;

  /** Returns a /8 range in compact form: run lengths of equal sites. */
  std::string EncodeRange(uint8_t range) const;

  /** Replaces a /8 range by its compact form; kDataLoss when it is broken, and
     the table stays as it was. */
  absl::Status DecodeRange(uint8_t range, std::string_view bytes);

 private:
  static constexpr size_t kPageSize = 256;
  static constexpr uint32_t kNoPage = ~uint32_t{0};

  std::vector<uint32_t> page_by_prefix_;  // by the upper 16 bits
  std::vector<uint8_t> sites_;            // pages one after the other
  size_t size_ = 0;
};

}  // namespace greengage

#endif  // GG_STEERING_BLOCK_TABLE_H_
