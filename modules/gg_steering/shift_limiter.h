#ifndef GG_STEERING_SHIFT_LIMITER_H_
#define GG_STEERING_SHIFT_LIMITER_H_

#include <map>
#include <string>

#include "gg_core/time.h"
#include "gg_document/document.h"

namespace greengage {

/** Returns the fraction of traffic that moves between regions from `before` to
    `after`: half the sum of the absolute differences. */
double ShiftSize(const RegionSplit& before, const RegionSplit& after);

/** Returns the split between `from` and `to`, by linear interpolation, whose
    ShiftSize() from `from` is at most `limit`. */
RegionSplit MoveTowards(const RegionSplit& from, const RegionSplit& to,
                        double limit);

/** Split of one service's traffic from one home region at one daemon, which
    changes no faster than the service's shift cap allows.

    The movement is continuous: at most kLocalCapFraction of the cap per window.
    After a pause, Advance() makes up for kMaxAdvanceTime at most, so a long
    pause causes no jump. The rest of the cap covers the step by which the
    stored plan may be ahead when the whole fleet restarts and continues from
    the plan. Every daemon limits its own traffic by the same fraction, which
    limits the traffic of the fleet as well; no daemon depends on another to
    keep the cap.

    Not thread-safe; Steering calls it under its lock. */
class ShiftLimiter {
 public:
  /** Fraction of the cap that continuous movement may use per window. */
  static constexpr double kLocalCapFraction = 0.8;

  ShiftLimiter() = default;

  /** Starts at `split`, which does not count as a shift. */
  ShiftLimiter(RegionSplit split, TimePoint now);

  //==============================================================================
  /** Moves the split towards `desired`, as far as the time since the last call
      allows.
      @return the fraction of traffic that moved. */
  double Advance(const RegionSplit& desired, const ShiftSpec& spec,
                 TimePoint now);

  /** Chooses the region of the next request by smooth weighted round robin, so
      that any run of requests follows the split as closely as whole numbers
      allow. Returns "" when the split is empty. */
  std::string PickRegion();

  const RegionSplit& split() const { return split_; }

 private:
  RegionSplit split_;
  std::map<std::string, double> credit_;  // round-robin weight by region
  TimePoint last_advance_{};
};

}  // namespace greengage

#endif  // GG_STEERING_SHIFT_LIMITER_H_
