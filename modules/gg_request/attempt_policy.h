#ifndef GG_REQUEST_ATTEMPT_POLICY_H_
#define GG_REQUEST_ATTEMPT_POLICY_H_

#include "gg_core/enum_names.h"
#include "gg_core/time.h"

namespace greengage {

/** What is known of a request that got no usable answer at a target. */
enum class AttemptFault {
  kNotSent,     // no byte of it left: the connection could not be made
  kNotRun,      // the target says that it did not run it
  kMayHaveRun,  // it was sent; what became of it is unknown
  kTimedOut,    // the route's time is over
};

/** What happens next to a request. */
enum class NextStep { kTryAgain, kAnswerNotRun, kAnswerFailed, kAnswerTimeout };

inline constexpr EnumNames<NextStep, 4> kNextStepNames{
    {"try_again", "answer_not_run", "answer_failed", "answer_timeout"}};

/** State of a request over its attempts. */
struct AttemptState {
  bool is_idempotent = false;
  int max_sends = 1;          // targets that it may be sent to
  int sends = 0;              // targets that it was sent to
  int connect_failures = 0;   // targets that could not be reached
  bool may_have_run = false;  // by any attempt up to now
  Duration time_left{};       // until the final answer is due
};

/** Decides what follows a failed attempt.

    A request that may have run is never sent again unless it is idempotent, and
    never answered as not run. Updates `state->may_have_run`.
    @param take_retry  asks the retry budget; called at most once, and only when
           all else allows another attempt. */
template <typename TakeRetry>
NextStep DecideNextStep(AttemptFault fault, AttemptState* state,
                        const TakeRetry& take_retry) {
  /** Time below which another attempt is not worth its place at a target. */
  constexpr Duration kMinAttemptTime = std::chrono::milliseconds(100);
  /** Unreachable targets after which the network is to blame. */
  constexpr int kMaxConnectFailures = 3;
  if (fault == AttemptFault::kMayHaveRun || fault == AttemptFault::kTimedOut) {
    state->may_have_run = true;
  }
  const bool may_send_again = !state->may_have_run || state->is_idempotent;
  const bool has_attempts_left = state->sends < state->max_sends &&
                                 state->connect_failures < kMaxConnectFailures;
  const bool has_time = state->time_left > kMinAttemptTime;
  const bool needs_retry_budget = state->sends > 0;
  if (fault != AttemptFault::kTimedOut && may_send_again && has_attempts_left &&
      has_time && (!needs_retry_budget || take_retry())) {
    return NextStep::kTryAgain;
  }
  if (fault == AttemptFault::kTimedOut) return NextStep::kAnswerTimeout;
  return state->may_have_run ? NextStep::kAnswerFailed
                             : NextStep::kAnswerNotRun;
}

}  // namespace greengage

#endif  // GG_REQUEST_ATTEMPT_POLICY_H_
