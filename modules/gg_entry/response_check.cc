#include "gg_entry/response_check.h"

#include "absl/strings/str_cat.h"
#include "gg_entry/message_codec.h"

namespace greengage {
namespace {

bool IsSuccess(unsigned status) { return status / 100 == 2; }

/** Returns true for a status that tells the caller that its request was not
    run. A target's response may have it only with a statement of the target. */
bool PromisesNotRun(unsigned status_number) {
  const http::status status = http::int_to_status(status_number);
  return status == http::status::service_unavailable ||
         status == http::status::too_many_requests ||
         status == http::status::request_timeout;
}

/** Returns true for a status with which a target can state that it did not run
    the request. */
bool MayStateNotRun(unsigned status) {
  return status / 100 == 4 ||
         http::int_to_status(status) == http::status::service_unavailable;
}

bool IsForThisRequest(const TargetFields& fields,
                      const ResponseContext& context) {
  const std::string_view request_id = fields.request_id;
  if (request_id == context.request_id) return true;
  // A refusal may lack the identifier. On a new connection it can only be for
  // the one request that was sent there.
  return fields.was_not_run && request_id.empty() &&
         !context.is_reused_connection;
}

}  // namespace

ResponseVerdict CheckResponse(const TargetFields& fields, unsigned status,
                              const ResponseContext& context) {
  if (!IsForThisRequest(fields, context)) {
    return {ResponseKind::kStray, "the answer is to another request"};
  }
  if (fields.was_not_run && !MayStateNotRun(status)) {
    return {ResponseKind::kUnusable,
            absl::StrCat("status ", status,
                         " with the statement that it was not run")};
  }
  if (fields.was_not_run) {
    return {ResponseKind::kRefusal, absl::StrCat("not run: status ", status)};
  }
  if (!context.is_idempotent && PromisesNotRun(status)) {
    return {ResponseKind::kUnusable,
            absl::StrCat("status ", status,
                         " without the statement that it was not run")};
  }
  if (fields.has_content_encoding) {
    return {ResponseKind::kUnusable, "the answer is encoded"};
  }
  if (IsSuccess(status) && !fields.is_signed) {
    return {ResponseKind::kUnusable, "a success without signature"};
  }
  return {};
}

}  // namespace greengage
