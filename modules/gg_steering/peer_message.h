#ifndef GG_STEERING_PEER_MESSAGE_H_
#define GG_STEERING_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "gg_core/time.h"
#include "gg_document/section_text.h"
#include "gg_steering/member_record.h"
#include "gg_steering/steering.h"

namespace greengage {

/** Values kept in the platform's store that daemons pass on to each other. */
enum class SharedKey { kDocument, kPlan, kSlices, kHosts };

inline constexpr EnumNames<SharedKey, 4> kSharedKeyNames{
    {"document", "plan", "slices", "hosts"}};

/** Sign of life between neighbours, with what the sender has. */
struct Heartbeat {
  uint64_t members_digest = 0;
  uint64_t document_revision = 0;
  uint64_t plan_revision = 0;
  uint64_t slices_revision = 0;
  uint64_t hosts_revision = 0;
  /** The receiver should answer even if the sender is no neighbour of its. */
  bool wants_reply = false;
};

/** Records that the sender passes on. */
struct MemberUpdate {
  std::vector<MemberRecord> records;
};

/** Asks for everything newer than what the sender has. The answer is any number
    of updates and at the end a PositionUpdate. */
struct StateRequest {
  bool wants_members = false;
  bool wants_positions = false;
  uint64_t document_revision = 0;
  uint64_t plan_revision = 0;
  uint64_t slices_revision = 0;
  uint64_t hosts_revision = 0;
};

/** Sections that changed after `base_revision`, and the order of all. */
struct DocumentUpdate {
  uint64_t base_revision = 0;
  uint64_t revision = 0;
  std::string digest;  // Hash128Hex() of the whole text
  std::vector<std::string> order;
  std::vector<SectionText> changed;
};

/** Whole value of a shared key other than the document. */
struct SharedValue {
  SharedKey key = SharedKey::kPlan;
  uint64_t revision = 0;
  std::string text;
};

/** Splits in force at the sender; ends the answer to a StateRequest. */
struct PositionUpdate {
  std::vector<Position> positions;
};

/** Asks for permits in a region. */
struct LoanRequest {
  uint64_t id = 0;
  std::string region;
  int64_t permits = 0;
};

/** Permits lent, already subtracted at the sender. */
struct LoanGrant {
  uint64_t id = 0;  // of the request
  std::string region;
  int64_t permits = 0;
  Duration term{};  // counted from when the request was sent
};

using PeerMessage =
    std::variant<Heartbeat, MemberUpdate, StateRequest, DocumentUpdate,
                 SharedValue, PositionUpdate, LoanRequest, LoanGrant>;

}  // namespace greengage

#endif  // GG_STEERING_PEER_MESSAGE_H_
