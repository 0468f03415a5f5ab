#ifndef GG_REQUEST_ATTEMPT_POLICY_H_
#define GG_REQUEST_ATTEMPT_POLICY_H_

#include "gg_core/enum_names.h"
#include "gg_core/time.h"

namespace greengage {

/** Why a request got no usable answer from a target, as far as known. */
enum class AttemptFault {
  kNotSent,     // nothing was sent: the connection failed
  kNotRun,      // the target reported that it did not run it
  kMayHaveRun,  // it was sent; the outcome is unknown
  kTimedOut,    // the time limit expired
};

/** What the daemon does after a failed attempt. */
enum class NextStep { kTryAgain, kAnswerNotRun, kAnswerFailed, kAnswerTimeout };

inline constexpr EnumNames<NextStep, 4> kNextStepNames{
    {"try_again", "answer_not_run", "answer_failed", "answer_timeout"}};

/** State of a request across its attempts. */
struct AttemptState {
  bool is_idempotent = false;
  int max_sends = 1;          // targets to which it may be sent
  int sends = 0;              // targets to which it was sent
  int connect_failures = 0;   // targets that could not be reached
  bool may_have_run = false;  // in any attempt so far
  Duration time_left{};       // until the final answer is due
};

/** Decides what to do after a failed attempt.

    A request that may have run is sent again only if it is idempotent, and is
    never answered as not run. Sets `state->may_have_run` if the fault implies
    it.
    @param take_retry  takes one retry from the retry budget and returns whether
           there was one left; called at most once, and only if all other
           conditions allow another attempt. */
template <typename TakeRetry>
NextStep DecideNextStep(AttemptFault fault, AttemptState* state,
                        const TakeRetry& take_retry) {
  /** Remaining time below which another attempt would only occupy a target. */
  constexpr Duration kMinAttemptTime = std::chrono::milliseconds(100);
  /** Unreachable targets after which the network is taken to be the cause. */
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
