#include "gg_entry/weighted_sample.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace greengage {
namespace {

/** Returns the probability of each entry; they add up to `count`. */
std::vector<double> InclusionProbabilities(std::vector<double> weights,
                                           size_t count) {
  double total = 0;
  for (double& weight : weights) {
    weight = std::max(weight, 0.0);
    total += weight;
  }
  if (total <= 0) weights.assign(weights.size(), 1);
  std::vector<double> probabilities(weights.size(), 0);
  std::vector<bool> is_certain(weights.size(), false);
  size_t left = count;  // entries to draw besides the certain ones
  for (bool has_new_certain = true; has_new_certain;) {
    has_new_certain = false;
    double rest = 0;
    for (size_t i = 0; i < weights.size(); ++i) {
      if (!is_certain[i]) rest += weights[i];
    }
    for (size_t i = 0; i < weights.size(); ++i) {
      if (is_certain[i]) continue;
      probabilities[i] =
          rest <= 0 ? 0 : static_cast<double>(left) * weights[i] / rest;
    }
    for (size_t i = 0; i < weights.size(); ++i) {
      if (is_certain[i] || probabilities[i] < 1 || left == 0) continue;
      probabilities[i] = 1;
      is_certain[i] = true;
      has_new_certain = true;
      --left;
    }
  }
  return probabilities;
}

}  // namespace

std::vector<size_t> SampleByWeight(const std::vector<double>& weights,
                                   size_t count, Random* random) {
  std::vector<size_t> order(weights.size());
  std::iota(order.begin(), order.end(), size_t{0});
  for (size_t i = order.size(); i > 1; --i) {
    std::swap(order[i - 1], order[random->NextBelow(i)]);
  }
  if (count >= order.size()) return order;
  const std::vector<double> probabilities =
      InclusionProbabilities(weights, count);
  std::vector<size_t> drawn;
  double next = random->NextDouble();
  double sum = 0;
  for (const size_t index : order) {
    sum += probabilities[index];
    if (sum <= next) continue;
    drawn.push_back(index);
    next += 1;
  }
  return drawn;
}

}  // namespace greengage
