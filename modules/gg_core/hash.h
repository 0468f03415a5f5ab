#ifndef GG_CORE_HASH_H_
#define GG_CORE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace greengage {

/** Returns a stable 64-bit hash of `data`, the same on every host (XXH3). */
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

/** Returns a stable 128-bit hash of `data` as 32 hexadecimal digits. */
std::string Hash128Hex(std::string_view data);

}  // namespace greengage

#endif  // GG_CORE_HASH_H_
