#include "gg_steering/block_table.h"

#include "gg_core/errors.h"
#include "gg_core/hash.h"

namespace greengage {
namespace {

constexpr uint32_t kPageCount = 65536;     // /16 ranges
constexpr uint32_t kPagesPerRange = 256;   // /16 ranges in a /8 range
constexpr size_t kBlocksPerRange = 65536;  // /24 blocks in a /8 range
constexpr uint32_t kBlockBits = 8;         // address bits within a /24 block
constexpr uint32_t kPageBits = 16;         // address bits within a /16 range
constexpr uint32_t kLowByteMask = 0xff;

/** Appends `value` as a varint: groups of seven bits, lowest first. */
void AppendVarint(uint32_t value, std::string* bytes) {
  constexpr uint32_t kContinuationBit = 0x80;
  while (value >= kContinuationBit) {
    bytes->push_back(
        static_cast<char>((value & (kContinuationBit - 1)) | kContinuationBit));
    value >>= 7U;
  }
  bytes->push_back(static_cast<char>(value));
}

/** Reads a varint of up to three bytes and removes it from `bytes`.
    @return false when no complete varint is found. */
bool ReadVarint(std::string_view* bytes, uint32_t* value) {
  *value = 0;
  for (uint32_t shift = 0; shift < 21 && !bytes->empty(); shift += 7) {
    const auto byte = static_cast<unsigned char>(bytes->front());
    bytes->remove_prefix(1);
    *value |= (byte & 0x7fU) << shift;
    if (byte < 0x80U) return true;
  }
  return false;
}

}  // namespace

BlockTable::BlockTable() : page_by_prefix_(kPageCount, kNoPage) {}

void BlockTable::Set(BlockEntry entry) {
  uint32_t& page = page_by_prefix_[entry.block >> kBlockBits];
  if (page == kNoPage) {
    if (entry.site == kNoSite) return;
    page = static_cast<uint32_t>(sites_.size() / kPageSize);
    sites_.resize(sites_.size() + kPageSize, kNoSite);
  }
  uint8_t& site = sites_[page * kPageSize + (entry.block & kLowByteMask)];
  if (site == kNoSite && entry.site != kNoSite) ++size_;
  if (site != kNoSite && entry.site == kNoSite) --size_;
  site = entry.site;
}

uint8_t BlockTable::SiteOf(uint32_t address) const {
  const uint32_t page = page_by_prefix_[address >> kPageBits];
  if (page == kNoPage) return kNoSite;
  return sites_[page * kPageSize + ((address >> kBlockBits) & kLowByteMask)];
}

size_t BlockTable::MemoryBytes() const {
  return page_by_prefix_.capacity() * sizeof(uint32_t) + sites_.capacity();
}

std::vector<uint64_t> BlockTable::Digests() const {
  std::vector<uint64_t> digests(kPagesPerRange, 0);
  for (uint32_t index = 0; index < kPageCount; ++index) {
    const uint32_t page = page_by_prefix_[index];
    if (page == kNoPage) continue;
    const std::string_view bytes(
        reinterpret_cast<const char*>(&sites_[page * kPageSize]), kPageSize);
    digests[index / kPagesPerRange] += Hash64(bytes, index);
  }
  return digests;
}

std::string BlockTable::EncodeRange(uint8_t range) const {
  std::string bytes;
  uint8_t run_site = kNoSite;
  uint32_t run_length = 0;
  const auto flush = [&] {
    if (run_length == 0) return;
    bytes.push_back(static_cast<char>(run_site));
    AppendVarint(run_length, &bytes);
  };
  for (uint32_t block = 0; block < kBlocksPerRange; ++block) {
    const uint32_t address = (uint32_t{range} << 24U) | (block << kBlockBits);
    const uint8_t site = SiteOf(address);
    if (site != run_site || run_length == 0) {
      flush();
      run_site = site;
      run_length = 0;
    }
    ++run_length;
  }
  flush();
  return bytes;
}

absl::Status BlockTable::DecodeRange(uint8_t range, std::string_view bytes) {
  std::string sites;
  while (!bytes.empty() && sites.size() <= kBlocksPerRange) {
    const char site = bytes.front();
    bytes.remove_prefix(1);
    uint32_t length = 0;
    const bool is_valid =
        ReadVarint(&bytes, &length) && length <= kBlocksPerRange;
    if (!is_valid) break;
    sites.append(length, site);
  }
  if (!bytes.empty() || sites.size() != kBlocksPerRange) {
    return StepError(absl::StatusCode::kDataLoss, Step::kPeerFrame, "blocks",
                     "malformed run-length encoding of a block range");
  }
  for (uint32_t block = 0; block < kBlocksPerRange; ++block) {
    Set({(uint32_t{range} << kPageBits) | block,
         static_cast<uint8_t>(sites[block])});
  }
  return absl::OkStatus();
}

}  // namespace greengage
