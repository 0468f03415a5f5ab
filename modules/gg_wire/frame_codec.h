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

/** Version of the peer protocol; a frame of another version is refused. */
inline constexpr uint16_t kPeerProtocolVersion = 1;

/** Length of the prefix of a frame on a stream: the size of what follows as a
    32-bit big-endian number. */
inline constexpr size_t kFramePrefixBytes = 4;

/** Largest frame accepted, in bytes without the prefix: a whole document of the
    largest size, with room for its structure. */
inline constexpr size_t kMaxFrameBytes = 1'500'000;

/** Frame in decoded form. */
struct PeerFrame {
  std::string deployment;
  HostId from;
  PeerMessage message;
};

/** Returns `frame` with its prefix, as it goes onto a stream. */
std::string AddFramePrefix(std::string_view frame);

/** Returns the prefix and the frame as they go onto a stream. */
std::string EncodeFrame(const PeerFrame& frame);

/** Returns the size that a prefix announces; kInvalidArgument when it is zero
   or over kMaxFrameBytes.
    @param prefix  exactly kFramePrefixBytes bytes.
    @param peer  address for the error. */
absl::StatusOr<size_t> DecodeFramePrefix(std::string_view prefix,
                                         std::string_view peer);

/** Decodes a frame without its prefix. The bytes are verified first: any input
    is safe. kInvalidArgument for a broken frame, kFailedPrecondition for
   another version or deployment.
    @param deployment  the one deployment to accept.
    @param peer  address for the error. */
absl::StatusOr<PeerFrame> DecodeFrame(std::string_view bytes,
                                      std::string_view deployment,
                                      std::string_view peer);

}  // namespace greengage

#endif  // GG_WIRE_FRAME_CODEC_H_
