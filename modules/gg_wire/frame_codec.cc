#include "gg_wire/frame_codec.h"

#include <array>
#include <cmath>

#include "gg_core/errors.h"
#include "gg_wire/generated/peer_generated.h"

namespace greengage {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

/** Longest term of a loan. The limit also prevents an overflow when the term is
    added to a time point. */
constexpr uint64_t kMaxLoanTermMs = 3'600'000;

/** Largest number of permits in one loan message. */
constexpr int64_t kMaxLoanPermits = 1'000'000'000;

struct EncodedBody {
  wire::Body type = wire::Body::NONE;
  Offset<void> offset;
};

std::string ToString(const flatbuffers::String* text) { return text->str(); }

Offset<wire::MemberRecord> EncodeRecord(FlatBufferBuilder* builder,
                                        const MemberRecord& record) {
  return wire::CreateMemberRecordDirect(
      *builder, record.id.address.c_str(), record.id.incarnation,
      record.traffic_address.c_str(), record.zone.c_str(),
      record.region.c_str(), record.version,
      static_cast<wire::MemberState>(record.state));
}

MemberRecord DecodeRecord(const wire::MemberRecord& record) {
  return {.id = {ToString(record.address()), record.incarnation()},
          .traffic_address = ToString(record.traffic_address()),
          .zone = ToString(record.zone()),
          .region = ToString(record.region()),
          .version = record.version(),
          .state = static_cast<MemberState>(record.state())};
}

/** Encodes each type of message. */
struct BodyEncoder {
  FlatBufferBuilder* builder;

  EncodedBody operator()(const Heartbeat& m) const {
    return {
        wire::Body::Heartbeat,
        wire::CreateHeartbeat(*builder, m.members_digest, m.document_revision,
                              m.plan_revision, m.slices_revision,
                              m.hosts_revision, m.wants_reply)
            .Union()};
  }
  EncodedBody operator()(const MemberUpdate& m) const {
    std::vector<Offset<wire::MemberRecord>> records;
    for (const MemberRecord& record : m.records) {
      records.push_back(EncodeRecord(builder, record));
    }
    return {wire::Body::MemberUpdate,
            wire::CreateMemberUpdateDirect(*builder, &records).Union()};
  }
  EncodedBody operator()(const StateRequest& m) const {
    return {
        wire::Body::StateRequest,
        wire::CreateStateRequest(*builder, m.wants_members, m.wants_positions,
                                 m.document_revision, m.plan_revision,
                                 m.slices_revision, m.hosts_revision)
            .Union()};
  }
  EncodedBody operator()(const DocumentUpdate& m) const {
    std::vector<Offset<flatbuffers::String>> order;
    for (const std::string& name : m.order) {
      order.push_back(builder->CreateString(name));
    }
    std::vector<Offset<wire::Section>> changed;
    for (const SectionText& section : m.changed) {
      changed.push_back(wire::CreateSectionDirect(
          *builder, section.name.c_str(), section.text.c_str()));
    }
    return {
        wire::Body::DocumentUpdate,
        wire::CreateDocumentUpdateDirect(*builder, m.base_revision, m.revision,
                                         m.digest.c_str(), &order, &changed)
            .Union()};
  }
  EncodedBody operator()(const SharedValue& m) const {
    return {wire::Body::SharedValue,
            wire::CreateSharedValueDirect(*builder,
                                          static_cast<wire::SharedKey>(m.key),
                                          m.revision, m.text.c_str())
                .Union()};
  }
  EncodedBody operator()(const PositionUpdate& m) const {
    std::vector<Offset<wire::Position>> positions;
    for (const Position& position : m.positions) {
      std::vector<Offset<wire::RegionFraction>> split;
      for (const auto& [region, fraction] : position.split) {
        split.push_back(wire::CreateRegionFractionDirect(
            *builder, region.c_str(), fraction));
      }
      positions.push_back(wire::CreatePositionDirect(
          *builder, position.service.c_str(), position.home.c_str(), &split));
    }
    return {wire::Body::PositionUpdate,
            wire::CreatePositionUpdateDirect(*builder, &positions).Union()};
  }
  EncodedBody operator()(const LoanRequest& m) const {
    return {wire::Body::LoanRequest,
            wire::CreateLoanRequestDirect(*builder, m.id, m.region.c_str(),
                                          m.permits)
                .Union()};
  }
  EncodedBody operator()(const LoanGrant& m) const {
    const auto term =
        std::chrono::duration_cast<std::chrono::milliseconds>(m.term);
    return {
        wire::Body::LoanGrant,
        wire::CreateLoanGrantDirect(*builder, m.id, m.region.c_str(), m.permits,
                                    static_cast<uint64_t>(term.count()))
            .Union()};
  }
};

MemberUpdate Decode(const wire::MemberUpdate& m) {
  MemberUpdate update;
  for (const auto* record : *m.records()) {
    update.records.push_back(DecodeRecord(*record));
  }
  return update;
}

DocumentUpdate Decode(const wire::DocumentUpdate& m) {
  DocumentUpdate update{.base_revision = m.base_revision(),
                        .revision = m.revision(),
                        .digest = ToString(m.digest())};
  for (const auto* name : *m.order()) update.order.push_back(ToString(name));
  for (const auto* section : *m.changed()) {
    update.changed.push_back(
        {ToString(section->name()), ToString(section->text())});
  }
  return update;
}

PositionUpdate Decode(const wire::PositionUpdate& m) {
  PositionUpdate update;
  for (const auto* item : *m.positions()) {
    Position position{.service = ToString(item->service()),
                      .home = ToString(item->home())};
    for (const auto* entry : *item->split()) {
      const double fraction = entry->fraction();
      const bool is_valid = std::isfinite(fraction) && fraction >= 0;
      position.split[ToString(entry->region())] = is_valid ? fraction : 0;
    }
    update.positions.push_back(std::move(position));
  }
  return update;
}

bool IsKnownKey(wire::SharedKey key) {
  return key >= wire::SharedKey::kDocument && key <= wire::SharedKey::kHosts;
}

bool HasKnownStates(const wire::MemberUpdate& m) {
  for (const auto* record : *m.records()) {
    if (record->state() < wire::MemberState::kAlive ||
        record->state() > wire::MemberState::kRemoved) {
      return false;
    }
  }
  return true;
}

/** Decodes the body. Returns false when a field is out of range. */
bool DecodeBody(const wire::Frame& frame, PeerMessage* message) {
  switch (frame.body_type()) {
    case wire::Body::Heartbeat: {
      const auto* m = frame.body_as_Heartbeat();
      *message = Heartbeat{m->members_digest(), m->document_revision(),
                           m->plan_revision(),  m->slices_revision(),
                           m->hosts_revision(), m->wants_reply()};
      return true;
    }
    case wire::Body::MemberUpdate:
      if (!HasKnownStates(*frame.body_as_MemberUpdate())) return false;
      *message = Decode(*frame.body_as_MemberUpdate());
      return true;
    case wire::Body::StateRequest: {
      const auto* m = frame.body_as_StateRequest();
      *message = StateRequest{m->wants_members(),     m->wants_positions(),
                              m->document_revision(), m->plan_revision(),
                              m->slices_revision(),   m->hosts_revision()};
      return true;
    }
    case wire::Body::DocumentUpdate:
      *message = Decode(*frame.body_as_DocumentUpdate());
      return true;
    case wire::Body::SharedValue: {
      const auto* m = frame.body_as_SharedValue();
      if (!IsKnownKey(m->key())) return false;
      *message = SharedValue{static_cast<SharedKey>(m->key()), m->revision(),
                             ToString(m->text())};
      return true;
    }
    case wire::Body::PositionUpdate:
      *message = Decode(*frame.body_as_PositionUpdate());
      return true;
    case wire::Body::LoanRequest: {
      const auto* m = frame.body_as_LoanRequest();
      if (m->permits() < 0 || m->permits() > kMaxLoanPermits) return false;
      *message = LoanRequest{m->id(), ToString(m->region()), m->permits()};
      return true;
    }
    case wire::Body::LoanGrant: {
      const auto* m = frame.body_as_LoanGrant();
      if (m->permits() < 0 || m->permits() > kMaxLoanPermits ||
          m->term_ms() > kMaxLoanTermMs) {
        return false;
      }
      *message = LoanGrant{m->id(), ToString(m->region()), m->permits(),
                           std::chrono::milliseconds(m->term_ms())};
      return true;
    }
    case wire::Body::NONE:
      return false;
  }
  return false;
}

}  // namespace

std::string AddFramePrefix(std::string_view frame) {
  const auto size = static_cast<uint32_t>(frame.size());
  std::string bytes;
  bytes.reserve(kFramePrefixBytes + frame.size());
  for (const unsigned shift : {24U, 16U, 8U, 0U}) {
    bytes.push_back(static_cast<char>((size >> shift) & 0xffU));
  }
  bytes.append(frame);
  return bytes;
}

std::string EncodeFrame(const PeerFrame& frame) {
  FlatBufferBuilder builder;
  const EncodedBody body = std::visit(BodyEncoder{&builder}, frame.message);
  const auto root = wire::CreateFrameDirect(
      builder, kPeerProtocolVersion, frame.deployment.c_str(),
      frame.from.address.c_str(), frame.from.incarnation, body.type,
      body.offset);
  wire::FinishFrameBuffer(builder, root);
  return AddFramePrefix(
      {reinterpret_cast<const char*>(builder.GetBufferPointer()),
       builder.GetSize()});
}

absl::StatusOr<size_t> DecodeFramePrefix(std::string_view prefix,
                                         std::string_view peer) {
  size_t size = 0;
  for (const char c : prefix) {
    size = (size << 8U) | static_cast<unsigned char>(c);
  }
  if (size == 0 || size > kMaxFrameBytes) {
    return StepError(absl::StatusCode::kInvalidArgument, Step::kPeerFrame, peer,
                     "frame size out of range");
  }
  return size;
}

absl::StatusOr<PeerFrame> DecodeFrame(std::string_view bytes,
                                      std::string_view deployment,
                                      std::string_view peer) {
  const auto make_error = [&](absl::StatusCode code, std::string_view what) {
    return StepError(code, Step::kPeerFrame, peer, what);
  };
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(bytes.data()),
                                 bytes.size());
  if (!wire::VerifyFrameBuffer(verifier)) {
    return make_error(absl::StatusCode::kInvalidArgument, "broken frame");
  }
  const wire::Frame& frame = *wire::GetFrame(bytes.data());
  if (frame.version() != kPeerProtocolVersion) {
    return make_error(absl::StatusCode::kFailedPrecondition,
                      "another version of the peer protocol");
  }
  if (frame.deployment()->string_view() != deployment) {
    return make_error(absl::StatusCode::kFailedPrecondition,
                      "frame of another deployment");
  }
  PeerFrame result{
      .deployment = ToString(frame.deployment()),
      .from = {ToString(frame.from_address()), frame.from_incarnation()}};
  if (!DecodeBody(frame, &result.message)) {
    return make_error(absl::StatusCode::kInvalidArgument, "field out of range");
  }
  return result;
}

}  // namespace greengage
