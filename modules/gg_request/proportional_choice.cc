#include "gg_request/proportional_choice.h"

#include <algorithm>

namespace greengage {

size_t ProportionalChoice::Next(const std::vector<double>& weights) {
  double total = 0;
  for (const double weight : weights) total += std::max(weight, 0.0);
  if (total <= 0) return 0;
  if (credit_.size() != weights.size()) credit_.assign(weights.size(), 0);
  size_t best = weights.size();
  for (size_t i = 0; i < weights.size(); ++i) {
    if (weights[i] <= 0) {
      credit_[i] = 0;
      continue;
    }
    credit_[i] += weights[i] / total;
    if (best == weights.size() || credit_[i] > credit_[best]) best = i;
  }
  credit_[best] -= 1;
  return best;
}

}  // namespace greengage
