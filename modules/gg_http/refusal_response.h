#ifndef GG_HTTP_REFUSAL_RESPONSE_H_
#define GG_HTTP_REFUSAL_RESPONSE_H_

#include <string>

#include "gg_core/enum_names.h"
#include "gg_core/errors.h"
#include "gg_http/caller_connection.h"
#include "gg_http/http_types.h"

namespace greengage {

/** What a refusal says about the request. */
enum class Outcome {
  kNotRun,   // it was not run, and this request will not be
  kUnknown,  // it may have run
};

inline constexpr EnumNames<Outcome, 2> kOutcomeNames{{"not-run", "unknown"}};

/** Answer that the system itself gives in place of a target's. */
struct RefusalResponse {
  http::status status = http::status::service_unavailable;
  Outcome outcome = Outcome::kUnknown;
  std::string reason;  // short and stable, for programs
  std::string text;    // for people: what happened and what to do
  Step step = Step::kAdmission;
  std::string peer = "self";
};

/** Sends a refusal. The connection is kept only when the request's body has
   been read (`body_consumed`).
    @return what the connection may do next. */
asio::awaitable<HandlerResult> SendRefusal(CallerConnection* caller,
                                           const RequestParser& request,
                                           RefusalResponse refusal);

}  // namespace greengage

#endif  // GG_HTTP_REFUSAL_RESPONSE_H_
