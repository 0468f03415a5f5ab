#include "gg_wire/change_relay_codec.h"

#include <vector>

#include "gg_core/errors.h"
#include "gg_wire/frame_codec.h"
#include "gg_wire/generated/change_relay_generated.h"

namespace greengage {
namespace {

constexpr char kRequestIdentifier[] = "GGCQ";
constexpr char kChangesIdentifier[] = "GGCR";

template <typename Root>
std::string FinishFrame(flatbuffers::FlatBufferBuilder* builder,
                        flatbuffers::Offset<Root> root,
                        const char* identifier) {
  builder->Finish(root, identifier);
  return AddFramePrefix(
      {reinterpret_cast<const char*>(builder->GetBufferPointer()),
       builder->GetSize()});
}

/** Verifies a frame and returns its root, or an error that names the peer. */
template <typename Root>
absl::StatusOr<const Root*> VerifyRoot(std::string_view frame,
                                       const char* identifier,
                                       std::string_view peer) {
  const auto* bytes = reinterpret_cast<const uint8_t*>(frame.data());
  flatbuffers::Verifier verifier(bytes, frame.size());
  if (!verifier.VerifyBuffer<Root>(identifier)) {
    return StepError(absl::StatusCode::kInvalidArgument, Step::kPeerFrame, peer,
                     "the frame is not of the relay of changes");
  }
  return flatbuffers::GetRoot<Root>(bytes);
}

}  // namespace

std::string EncodeRelayRequest(StorePosition after) {
  flatbuffers::FlatBufferBuilder builder;
  return FinishFrame(
      &builder, wire::CreateRelayRequest(builder, after.revision, after.era),
      kRequestIdentifier);
}

absl::StatusOr<StorePosition> DecodeRelayRequest(std::string_view frame,
                                                 std::string_view peer) {
  const auto root =
      VerifyRoot<wire::RelayRequest>(frame, kRequestIdentifier, peer);
  if (!root.ok()) return root.status();
  return StorePosition{.era = (*root)->era(), .revision = (*root)->after()};
}

std::string EncodeRelayedChanges(const KeyValueReadResult& changes) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<wire::RelayedItem>> items;
  items.reserve(changes.items.size());
  for (const KeyValueItem& item : changes.items) {
    const std::string value = item.value.value_or(std::string());
    const auto key = builder.CreateString(item.key);
    const auto bytes = builder.CreateVector(
        reinterpret_cast<const uint8_t*>(value.data()), value.size());
    items.push_back(wire::CreateRelayedItem(
        builder, key, bytes, !item.value.has_value(), item.revision));
  }
  const auto rows = builder.CreateVector(items);
  return FinishFrame(&builder,
                     wire::CreateRelayedChanges(builder, changes.store_revision,
                                                rows, changes.era),
                     kChangesIdentifier);
}

absl::StatusOr<KeyValueReadResult> DecodeRelayedChanges(std::string_view frame,
                                                        std::string_view peer) {
  const auto root =
      VerifyRoot<wire::RelayedChanges>(frame, kChangesIdentifier, peer);
  if (!root.ok()) return root.status();
  KeyValueReadResult changes{.store_revision = (*root)->store_revision(),
                             .era = (*root)->era(),
                             .is_relayed = true};
  if ((*root)->items() == nullptr) return changes;
  for (const wire::RelayedItem* row : *(*root)->items()) {
    KeyValueItem item{.key = row->key()->str(), .revision = row->revision()};
    if (!row->is_deleted()) {
      item.value.emplace();
      if (row->value() != nullptr) {
        item.value->assign(row->value()->begin(), row->value()->end());
      }
    }
    changes.items.push_back(std::move(item));
  }
  return changes;
}

}  // namespace greengage
