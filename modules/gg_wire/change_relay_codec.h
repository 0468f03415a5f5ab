#ifndef GG_WIRE_CHANGE_RELAY_CODEC_H_
#define GG_WIRE_CHANGE_RELAY_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "gg_core/key_value.h"

namespace greengage {

/** Frames of the relay of the store's changes between daemons of a zone. The
    encoders add the prefix of gg_wire/frame_codec.h; the decoders take a frame
    without it and accept any bytes.
    @return kInvalidArgument for anything that is no whole frame; `peer` names
            the sender in it. */
std::string EncodeRelayRequest(uint64_t after_revision);
absl::StatusOr<uint64_t> DecodeRelayRequest(std::string_view frame,
                                            std::string_view peer);

std::string EncodeRelayedChanges(const KeyValueRead& changes);
absl::StatusOr<KeyValueRead> DecodeRelayedChanges(std::string_view frame,
                                                  std::string_view peer);

}  // namespace greengage

#endif  // GG_WIRE_CHANGE_RELAY_CODEC_H_
