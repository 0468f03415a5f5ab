#include "gg_entry/response_check.h"

#include "unit/test_support.h"

namespace greengage {
namespace {

TEST_GROUP(ResponseCheck) {
  TargetFields fields{.request_id = "mine", .is_signed = true};
  ResponseContext context{.request_id = "mine"};

  ResponseKind Check(unsigned status) {
    return CheckResponse(fields, status, context).kind;
  }
};

TEST(ResponseCheck, SignedSuccessWithTheIdentifier_IsAnAnswer) {
  CHECK_TRUE(Check(200) == ResponseKind::kAnswer);
  fields.is_signed = false;
  CHECK_TRUE(Check(200) == ResponseKind::kUnusable);
  CHECK_TRUE(Check(500) == ResponseKind::kAnswer);
}

TEST(ResponseCheck, EarlierRefusal_SaysNothingOfThisRequest) {
  fields.was_not_run = true;
  CHECK_TRUE(Check(503) == ResponseKind::kRefusal);
  fields.request_id = "earlier";
  CHECK_TRUE(Check(503) == ResponseKind::kStray);
  CHECK_TRUE(Check(421) == ResponseKind::kStray);
}

TEST(ResponseCheck, RefusalWithoutIdentifier_IsBelievedOnANewConnectionOnly) {
  fields.was_not_run = true;
  fields.request_id = "";
  CHECK_TRUE(Check(503) == ResponseKind::kRefusal);
  context.is_reused_connection = true;
  CHECK_TRUE(Check(503) == ResponseKind::kStray);
}

TEST(ResponseCheck, SuccessWithoutIdentifier_IsNeverAnAnswer) {
  fields.request_id = "";
  CHECK_TRUE(Check(200) == ResponseKind::kStray);
}

// A success or a failure of the target's own counts as run, so the response
// contradicts itself.
TEST(ResponseCheck, RefusalWithAnotherStatus_IsNotBelieved) {
  fields.was_not_run = true;
  for (const unsigned status : {200U, 204U, 302U, 500U, 502U, 504U}) {
    CHECK_TRUE(Check(status) == ResponseKind::kUnusable);
  }
  for (const unsigned status : {400U, 408U, 421U, 429U, 503U}) {
    CHECK_TRUE(Check(status) == ResponseKind::kRefusal);
  }
}

TEST(ResponseCheck, StatusThatPromisesNotRun_NeedsTheTargetsStatement) {
  for (const unsigned status : {408U, 429U, 503U}) {
    context.is_idempotent = false;
    CHECK_TRUE(Check(status) == ResponseKind::kUnusable);
    context.is_idempotent = true;  // may be repeated in any case
    CHECK_TRUE(Check(status) == ResponseKind::kAnswer);
  }
}

}  // namespace
}  // namespace greengage
