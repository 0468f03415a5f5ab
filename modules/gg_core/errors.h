#ifndef GG_CORE_ERRORS_H_
#define GG_CORE_ERRORS_H_

#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "gg_core/enum_names.h"

namespace greengage {

/** Processing step in which an error occurred. */
enum class Step {
  kSettings,
  kDocumentParse,
  kDocumentCheck,
  kStoreConnect,
  kStoreCall,
  kPeerConnect,
  kPeerFrame,
  kHeaderRead,
  kBodyRead,
  kAdmission,
  kForwardConnect,
  kForwardSend,
  kForwardReceive,
  kOrderClaim,
  kAnswerSend,
};

inline constexpr EnumNames<Step, 15> kStepNames{
    {"settings", "document_parse", "document_check", "store_connect",
     "store_call", "peer_connect", "peer_frame", "header_read", "body_read",
     "admission", "forward_connect", "forward_send", "forward_receive",
     "order_claim", "answer_send"}};

/** Returns an error whose message reads "step=<step> peer=<peer>: <what>". The
    step and peer are also attached as payloads.
    @param peer  the remote end or the origin of the error: an address, a
                 section of a document, or "self". */
absl::Status StepError(absl::StatusCode code, Step step, std::string_view peer,
                       std::string_view what);

/** Returns the name of the step attached to `status`, or "" if it has
    none. */
std::string ErrorStep(const absl::Status& status);

/** Returns the peer attached to `status`, or "" if there is none. */
std::string ErrorPeer(const absl::Status& status);

}  // namespace greengage

#endif  // GG_CORE_ERRORS_H_
