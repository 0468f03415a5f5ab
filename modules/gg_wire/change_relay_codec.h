#ifndef GG_WIRE_CHANGE_RELAY_CODEC_H_
#define GG_WIRE_CHANGE_RELAY_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "gg_core/key_value.h"
#include "gg_core/store_position.h"

namespace greengage {

/** Encode and decode the frames by which a daemon relays changes of the store
    to the other daemons of its zone. The encoders add the prefix of
    gg_wire/frame_codec.h; the decoders expect a frame without it and are safe
    for any input.
    @param after  only changes after this position are requested.
    @param peer  the sender, used in the error.
    @return kInvalidArgument when the bytes are not a valid frame. */
std::string EncodeRelayRequest(StorePosition after);
absl::StatusOr<StorePosition> DecodeRelayRequest(std::string_view frame,
                                                 std::string_view peer);

std::string EncodeRelayedChanges(const KeyValueReadResult& changes);
absl::StatusOr<KeyValueReadResult> DecodeRelayedChanges(std::string_view frame,
                                                        std::string_view peer);

}  // namespace greengage

#endif  // GG_WIRE_CHANGE_RELAY_CODEC_H_
