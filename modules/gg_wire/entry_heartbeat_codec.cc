#include "gg_wire/entry_heartbeat_codec.h"

#include <algorithm>
#include <vector>

#include "gg_core/errors.h"
#include "gg_wire/generated/entry_heartbeat_generated.h"

namespace greengage {
namespace {

/** Largest slowness that is sent, in tenths. Higher values are clamped. */
constexpr double kMaxSlownessTenths = 1000;

}  // namespace

std::string EncodeEntryHeartbeat(const EntryHeartbeat& heartbeat) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<wire::TargetWork> target_rows;
  target_rows.reserve(heartbeat.targets.size());
  for (const auto& [id_hash, report] : heartbeat.targets) {
    const double tenths =
        std::clamp(report.slowness * 10, 0.0, kMaxSlownessTenths);
    target_rows.emplace_back(id_hash, static_cast<uint32_t>(report.in_flight),
                             static_cast<uint16_t>(tenths), report.is_ejected);
  }
  const auto sender = builder.CreateString(heartbeat.sender);
  const auto rows = builder.CreateVectorOfStructs(target_rows);
  const auto zones = builder.CreateVectorOfStrings(std::vector<std::string>(
      heartbeat.evacuated_zones.begin(), heartbeat.evacuated_zones.end()));
  builder.Finish(
      wire::CreateEntryHeartbeat(
          builder, sender, heartbeat.incarnation, heartbeat.is_leaving,
          heartbeat.is_store_reachable, heartbeat.store_revision, zones, rows),
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
                           .is_store_reachable = frame->store_reachable(),
                           .store_revision = frame->store_revision()};
  if (frame->evacuated() != nullptr) {
    for (const flatbuffers::String* zone : *frame->evacuated()) {
      heartbeat.evacuated_zones.insert(zone->str());
    }
  }
  if (frame->work() != nullptr) {
    for (const wire::TargetWork* row : *frame->work()) {
      heartbeat.targets[row->id_hash()] = {
          .in_flight = static_cast<int>(row->in_flight()),
          .slowness = row->slowness_tenths() / 10.0,
          .is_ejected = row->is_resting()};
    }
  }
  return heartbeat;
}

}  // namespace greengage
