#ifndef GG_WIRE_FRAME_CODEC_H_
#define GG_WIRE_FRAME_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "gg_core/host_id.h"
#include "gg_steering/peer_message.h"

namespace greengage {

/** Version of the peer protocol. Frames of another version are rejected. */
inline constexpr uint16_t kPeerProtocolVersion = 1;

/** Length in bytes of the prefix of a frame on a stream. The prefix holds the
    size of the frame that follows as a 32-bit big-endian number. */
inline constexpr size_t kFramePrefixBytes = 4;

/** Largest accepted frame, in bytes without the prefix. It holds a document of
    the maximum size and the overhead of its encoding. */
inline constexpr size_t kMaxFrameBytes = 1'500'000;

/** Decoded frame. */
struct PeerFrame {
  std::string deployment;
  HostId from;
  PeerMessage message;
};

/** Returns the prefix followed by `frame`, as sent on a stream. */
std::string AddFramePrefix(std::string_view frame);

/** Encodes a frame with its prefix, as sent on a stream. */
std::string EncodeFrame(const PeerFrame& frame);

/** Returns the frame size that a prefix holds, in bytes.
    @param prefix  exactly kFramePrefixBytes bytes.
    @param peer  address of the sender, used in the error.
    @return kInvalidArgument when the size is zero or over kMaxFrameBytes. */
absl::StatusOr<size_t> DecodeFramePrefix(std::string_view prefix,
                                         std::string_view peer);

/** Verifies and decodes a frame without its prefix. Safe for any input.
    @param deployment  the only accepted deployment.
    @param peer  address of the sender, used in the error.
    @return kInvalidArgument for an invalid frame, kFailedPrecondition for
            another protocol version or deployment. */
absl::StatusOr<PeerFrame> DecodeFrame(std::string_view bytes,
                                      std::string_view deployment,
                                      std::string_view peer);

}  // namespace greengage

#endif  // GG_WIRE_FRAME_CODEC_H_
