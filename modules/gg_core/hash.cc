#include "gg_core/hash.h"

#include <xxhash.h>

#include "absl/strings/str_cat.h"

namespace greengage {

uint64_t Hash64(std::string_view data, uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string Hash128Hex(std::string_view data) {
  const XXH128_hash_t hash = XXH3_128bits(data.data(), data.size());
  return absl::StrCat(absl::Hex(hash.high64, absl::kZeroPad16),
                      absl::Hex(hash.low64, absl::kZeroPad16));
}

}  // namespace greengage
