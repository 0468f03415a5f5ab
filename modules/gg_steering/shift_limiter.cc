#include "gg_steering/shift_limiter.h"

#include <algorithm>
#include <cmath>

namespace greengage {
namespace {

double FractionOf(const RegionSplit& split, const std::string& region) {
  const auto found = split.find(region);
  return found == split.end() ? 0 : found->second;
}

/** Longest elapsed time that one call of Advance() accounts for. */
constexpr Duration kMaxAdvanceTime = std::chrono::seconds(1);

}  // namespace

double ShiftSize(const RegionSplit& before, const RegionSplit& after) {
  double sum = 0;
  for (const auto& [region, fraction] : before) {
    sum += std::abs(fraction - FractionOf(after, region));
  }
  for (const auto& [region, fraction] : after) {
    if (before.count(region) == 0) sum += std::abs(fraction);
  }
  return sum / 2;
}

RegionSplit MoveTowards(const RegionSplit& from, const RegionSplit& to,
                        double limit) {
  const double distance = ShiftSize(from, to);
  if (distance <= limit) return to;
  const double ratio = limit / distance;
  RegionSplit moved;
  for (const auto& [region, fraction] : from) {
    moved[region] = fraction + ratio * (FractionOf(to, region) - fraction);
  }
  for (const auto& [region, fraction] : to) {
    if (from.count(region) == 0) moved[region] = ratio * fraction;
  }
  return moved;
}

ShiftLimiter::ShiftLimiter(RegionSplit split, TimePoint now)
    : split_(std::move(split)), last_advance_(now) {}

double ShiftLimiter::Advance(const RegionSplit& desired, const ShiftSpec& spec,
                             TimePoint now) {
  const Duration elapsed =
      std::clamp<Duration>(now - last_advance_, Duration::zero(),
                           std::min(kMaxAdvanceTime, spec.window));
  last_advance_ = now;
  const double limit = kLocalCapFraction * spec.cap * ToSeconds(elapsed) /
                       std::max(ToSeconds(spec.window), 1e-9);
  RegionSplit next = MoveTowards(split_, desired, limit);
  const double moved = ShiftSize(split_, next);
  split_ = std::move(next);
  return moved;
}

std::string ShiftLimiter::PickRegion() {
  const std::string* best = nullptr;
  double best_credit = 0;
  for (const auto& [region, fraction] : split_) {
    double& credit = credit_[region];
    credit += fraction;
    if (fraction > 0 && (best == nullptr || credit > best_credit)) {
      best = &region;
      best_credit = credit;
    }
  }
  if (best == nullptr) return "";
  credit_[*best] -= 1;
  return *best;
}

}  // namespace greengage
