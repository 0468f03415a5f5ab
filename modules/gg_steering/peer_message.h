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

/** Keys of the values in the platform's store that daemons also exchange with
    each other. */
enum class SharedKey { kDocument, kPlan, kSlices, kHosts };

inline constexpr EnumNames<SharedKey, 4> kSharedKeyNames{
    {"document", "plan", "slices", "hosts"}};

/** Periodic message between neighbours, with the digest and the revisions of
    the state that the sender has. */
struct Heartbeat {
  uint64_t members_digest = 0;
  uint64_t document_revision = 0;
  uint64_t plan_revision = 0;
  uint64_t slices_revision = 0;
  uint64_t hosts_revision = 0;
  /** True when the receiver should answer with a heartbeat of its own, even if
      the sender is not its neighbour. */
  bool wants_reply = false;
};

/** Member records that changed at the sender, or all of them in the answer to a
    StateRequest. */
struct MemberUpdate {
  std::vector<MemberRecord> records;
};

/** Requests everything that is newer than what the sender has. The answer is
    any number of updates, followed by one PositionUpdate. */
struct StateRequest {
  bool wants_members = false;
  bool wants_positions = false;
  uint64_t document_revision = 0;
  uint64_t plan_revision = 0;
  uint64_t slices_revision = 0;
  uint64_t hosts_revision = 0;
};

/** Difference between two revisions of the document. */
struct DocumentUpdate {
  uint64_t base_revision = 0;
  uint64_t revision = 0;
  std::string digest;                // Hash128Hex() of the whole new text
  std::vector<std::string> order;    // names of all sections, in order
  std::vector<SectionText> changed;  // sections changed after base_revision
};

/** Whole value of a shared key other than the document. */
struct SharedValue {
  SharedKey key = SharedKey::kPlan;
  uint64_t revision = 0;
  std::string text;
};

/** Splits in force at the sender, if the StateRequest wanted them. It is the
    last message of the answer to a StateRequest. */
struct PositionUpdate {
  std::vector<Position> positions;
};

/** Requests a loan of permits in a region. */
struct LoanRequest {
  uint64_t id = 0;
  std::string region;
  int64_t permits = 0;
};

/** Loan of permits, which the sender has already subtracted from its own. */
struct LoanGrant {
  uint64_t id = 0;  // of the LoanRequest
  std::string region;
  int64_t permits = 0;
  Duration term{};  // counted from the moment the LoanRequest was sent
};

using PeerMessage =
    std::variant<Heartbeat, MemberUpdate, StateRequest, DocumentUpdate,
                 SharedValue, PositionUpdate, LoanRequest, LoanGrant>;

}  // namespace greengage

#endif  // GG_STEERING_PEER_MESSAGE_H_
