#include "gg_core/random.h"
#include "gg_wire/gg_wire.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

TEST_GROUP(FrameCodec) {
  std::vector<PeerMessage> messages = {
      Heartbeat{1, 2, 3, 4, 5, true},
      MemberUpdate{{{.id = {"10.0.0.1:7000", 7},
                     .traffic_address = "10.0.0.1:80",
                     .zone = "z",
                     .region = "r",
                     .version = 3,
                     .state = MemberState::kSuspect}}},
      StateRequest{true, true, 1, 2, 3, 4},
      DocumentUpdate{1, 2, "digest", {"a", "b"}, {{"a", "a:\n  x: 1\n"}}},
      SharedValue{SharedKey::kSlices, 9, "{}"},
      PositionUpdate{{{"shop", "north", {{"north", 0.5}, {"south", 0.5}}}}},
      LoanRequest{1, "north", 5},
      LoanGrant{1, "north", 5, std::chrono::seconds(10)}};

  std::string Encode(const PeerMessage& message) {
    return EncodeFrame({"sample", {"10.0.0.2:7000", 11}, message});
  }
  absl::StatusOr<PeerFrame> Decode(const std::string& bytes,
                                   const std::string& deployment = "sample") {
    return DecodeFrame(std::string_view(bytes).substr(kFramePrefixBytes),
                       deployment, "peer");
  }
};

TEST(FrameCodec, EachMessageSurvivesTheRoundTrip) {
  for (const PeerMessage& message : messages) {
    const std::string bytes = Encode(message);
    LONGS_EQUAL(bytes.size() - kFramePrefixBytes,
                *DecodeFramePrefix(bytes.substr(0, kFramePrefixBytes), "p"));
    const auto frame = Decode(bytes);
    CHECK_TRUE_TEXT(frame.ok(), MessageOf(frame.status()).c_str());
    STRCMP_EQUAL("10.0.0.2:7000", frame->from.address.c_str());
    LONGS_EQUAL(message.index(), frame->message.index());
    // Encoding the decoded message gives the same bytes, so no field was lost.
    CHECK_TRUE(Encode(frame->message) == bytes);
  }
}

TEST(FrameCodec, OtherDeploymentIsRefused) {
  const auto frame = Decode(Encode(messages[0]), "other");
  CHECK_TRUE(frame.status().code() == absl::StatusCode::kFailedPrecondition);
}

TEST(FrameCodec, FrameSizeOutOfRangeIsRefused) {
  CHECK_FALSE(DecodeFramePrefix(std::string(4, '\0'), "p").ok());
  CHECK_FALSE(DecodeFramePrefix("\xff\xff\xff\xff", "p").ok());
}

TEST(FrameCodec, GarbageNeverCrashesAndErrorsNameThePeer) {
  Random random(20261204);
  int refused = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string bytes = Encode(messages[random.NextBelow(messages.size())]);
    const uint64_t edits = 1 + random.NextBelow(6);
    for (uint64_t i = 0; i < edits; ++i) {
      const uint64_t at = kFramePrefixBytes +
                          random.NextBelow(bytes.size() - kFramePrefixBytes);
      bytes[at] = static_cast<char>(random.Next());
    }
    if (random.NextBelow(4) == 0) {
      bytes.resize(kFramePrefixBytes + random.NextBelow(bytes.size()));
    }
    const auto frame = Decode(bytes);
    if (frame.ok()) continue;
    ++refused;
    CHECK_TRUE(Contains(MessageOf(frame.status()), "peer=peer"));
  }
  CHECK_TRUE(refused > 1000);
}

}  // namespace
}  // namespace greengage
