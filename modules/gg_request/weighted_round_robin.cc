#include "gg_request/weighted_round_robin.h"

#include <algorithm>

namespace greengage {
namespace {

/** Maximum number of choices that an entry may be behind or ahead of its share,
    so that an entry that was not allowed for a while does not catch up all at
    once. Choices among all entries never reach this bound. */
constexpr double kMaxCredit = 3;

}  // namespace

size_t WeightedRoundRobin::Next(const std::vector<double>& weights) {
  return NextAmong(weights, std::vector<bool>(weights.size(), true));
}

size_t WeightedRoundRobin::NextAmong(const std::vector<double>& weights,
                                     const std::vector<bool>& is_allowed) {
  double total = 0;
  for (const double weight : weights) total += std::max(weight, 0.0);
  if (total <= 0) return 0;
  if (credit_.size() != weights.size()) credit_.assign(weights.size(), 0);
  size_t best = weights.size();
  size_t best_allowed = weights.size();
  const auto is_better = [&](size_t i, size_t than) {
    return than == weights.size() || credit_[i] > credit_[than];
  };
  for (size_t i = 0; i < weights.size(); ++i) {
    if (weights[i] <= 0) {
      credit_[i] = 0;
      continue;
    }
    credit_[i] =
        std::clamp(credit_[i] + weights[i] / total, -kMaxCredit, kMaxCredit);
    if (is_better(i, best)) best = i;
    if (is_allowed[i] && is_better(i, best_allowed)) best_allowed = i;
  }
  if (best_allowed != weights.size()) best = best_allowed;
  credit_[best] -= 1;
  return best;
}

}  // namespace greengage
