#ifndef GG_ENTRY_RESPONSE_CHECK_H_
#define GG_ENTRY_RESPONSE_CHECK_H_

#include <string>
#include <string_view>

#include "gg_entry/message_codec.h"

namespace greengage {

/** What a target's response is to the request that it arrived for. */
enum class ResponseKind {
  kAnswer,    // may be passed on
  kRefusal,   // states that the target did not run the request
  kUnusable,  // the request may have run, and the response can't be passed on
  kStray,     // to another request; says nothing of this one
};

/** Result of CheckResponse(). */
struct ResponseVerdict {
  ResponseKind kind = ResponseKind::kAnswer;
  std::string reason;  // why it is no answer
};

/** The request that a response arrived for. */
struct ResponseContext {
  std::string_view request_id;
  bool is_idempotent = false;
  bool is_reused_connection = false;  // other requests were sent there before
};

/** Decides whether a response answers the request that it arrived for.

    A target may send an earlier response, or an earlier refusal, once more on a
    connection that was kept. The identifier is therefore compared before
    anything else in the response is believed. */
ResponseVerdict CheckResponse(const TargetFields& fields, unsigned status,
                              const ResponseContext& context);

}  // namespace greengage

#endif  // GG_ENTRY_RESPONSE_CHECK_H_
