#ifndef GG_STEERING_RETRY_BUDGET_H_
#define GG_STEERING_RETRY_BUDGET_H_

#include <algorithm>

namespace greengage {

/** Limits retries to a fraction of the first attempts, so that retries cannot
    amplify an overload. Not thread-safe; Steering calls it under its lock. */
class RetryBudget {
 public:
  struct Options {
    double fraction = 0.1;  // retries earned by each first attempt
    double burst = 10;      // most retries that can be saved up
  };

  explicit RetryBudget(Options options)
      : options_(options), tokens_(options.burst) {}

  /** Counts one first attempt. */
  void OnFirstAttempt() {
    tokens_ = std::min(tokens_ + options_.fraction, options_.burst);
  }

  /** Takes one retry from the budget.
      @return false when the budget is exhausted. */
  bool TryTakeRetry() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  Options options_;
  double tokens_;
};

}  // namespace greengage

#endif  // GG_STEERING_RETRY_BUDGET_H_
