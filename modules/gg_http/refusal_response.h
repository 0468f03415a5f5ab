#ifndef GG_HTTP_REFUSAL_RESPONSE_H_
#define GG_HTTP_REFUSAL_RESPONSE_H_

#include <string>

#include "gg_core/enum_names.h"
#include "gg_core/errors.h"
#include "gg_http/caller_connection.h"
#include "gg_http/http_types.h"

namespace greengage {

/** Whether a refused request may have been run. */
enum class Outcome {
  kNotRun,   // it was not run and will not be
  kUnknown,  // it may have run
};

inline constexpr EnumNames<Outcome, 2> kOutcomeNames{{"not-run", "unknown"}};

/** Error response that the daemon sends instead of a target's response. */
struct RefusalResponse {
  http::status status = http::status::service_unavailable;
  Outcome outcome = Outcome::kUnknown;
  std::string reason;            // stable identifier, for programs
  std::string text;              // for people: the cause and what to do
  Step step = Step::kAdmission;  // where the request failed
  std::string peer = "self";     // address of the side that failed
};

/** Returns the refusal of a request that was not passed on to a target because
    memory is short. */
RefusalResponse MakeMemoryRefusal(const CallerConnection& caller);

/** Sends a refusal, as JSON unless the request's method is HEAD. The connection
    is kept open only if the request's body has been read completely.
    @return whether the connection may carry another request. */
asio::awaitable<HandlerResult> SendRefusal(CallerConnection* caller,
                                           const RequestParser& request,
                                           RefusalResponse refusal);

}  // namespace greengage

#endif  // GG_HTTP_REFUSAL_RESPONSE_H_
