#include "gg_wire/entry_heartbeat_codec.h"

#include <vector>

#include "gg_core/errors.h"
#include "gg_wire/generated/entry_heartbeat_generated.h"

namespace greengage {

std::string EncodeEntryHeartbeat(const EntryHeartbeat& heartbeat) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<wire::TargetWork> work;
  work.reserve(heartbeat.in_flight.size());
  for (const auto& [id_hash, count] : heartbeat.in_flight) {
    work.emplace_back(id_hash, static_cast<uint32_t>(count));
  }
  const auto sender = builder.CreateString(heartbeat.sender);
  const auto rows = builder.CreateVectorOfStructs(work);
  builder.Finish(
      wire::CreateEntryHeartbeat(
          builder, sender, heartbeat.incarnation, heartbeat.is_leaving,
          heartbeat.store_reachable, heartbeat.store_revision, rows),
      wire::EntryHeartbeatIdentifier());
  return {builder.GetBufferPointer(),
          builder.GetBufferPointer() + builder.GetSize()};
}

absl::StatusOr<EntryHeartbeat> DecodeEntryHeartbeat(std::string_view datagram,
                                                    std::string_view peer) {
  const auto* bytes =
      static_cast<const uint8_t*>(static_cast<const void*>(datagram.data()));
  flatbuffers::Verifier verifier(bytes, datagram.size());
  if (!wire::VerifyEntryHeartbeatBuffer(verifier)) {
    return StepError(absl::StatusCode::kInvalidArgument, Step::kPeerFrame, peer,
                     "the datagram is no heartbeat");
  }
  const wire::EntryHeartbeat* frame = wire::GetEntryHeartbeat(bytes);
  EntryHeartbeat heartbeat{.sender = frame->sender()->str(),
                           .incarnation = frame->incarnation(),
                           .is_leaving = frame->is_leaving(),
                           .store_reachable = frame->store_reachable(),
                           .store_revision = frame->store_revision()};
  if (frame->work() != nullptr) {
    for (const wire::TargetWork* row : *frame->work()) {
      heartbeat.in_flight[row->id_hash()] = static_cast<int>(row->in_flight());
    }
  }
  return heartbeat;
}

}  // namespace greengage
