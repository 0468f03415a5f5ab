#ifndef GG_STORE_STORE_CODEC_H_
#define GG_STORE_STORE_CODEC_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "gg_store/store_types.h"

namespace greengage {

/** Encodes `data` in base 64, the protocol's encoding of keys and values. */
std::string Base64Encode(std::string_view data);

/** Decodes base 64. Stops at the first invalid character. */
std::string Base64Decode(std::string_view text);

/** Returns the exclusive end of the range of keys that start with `prefix`. */
std::string PrefixEnd(std::string prefix);

/** Encode a request as JSON text. */
std::string EncodeRange(std::string_view key, std::string_view range_end);
std::string EncodeCompareAndSwap(const StoreCompareAndSwap& swap);
std::string EncodeWatch(std::string_view prefix, uint64_t start_revision);
std::string EncodeLeaseGrant(int64_t ttl_seconds);

/** Decode a response.
    @param peer  address of the store, used in the error.
    @return kDataLoss when the text does not follow the protocol. */
absl::StatusOr<StoreReadResult> DecodeRange(const std::string& text,
                                            std::string_view peer);
absl::StatusOr<StoreCompareAndSwapResult> DecodeCompareAndSwap(
    const std::string& text, std::string_view peer);
absl::StatusOr<int64_t> DecodeLeaseGrant(const std::string& text,
                                         std::string_view peer);

/** Decodes one line of a watch stream. Only puts give entries; deletions are
    ignored. */
absl::StatusOr<StoreReadResult> DecodeWatchLine(const std::string& text,
                                                std::string_view peer);

}  // namespace greengage

#endif  // GG_STORE_STORE_CODEC_H_
