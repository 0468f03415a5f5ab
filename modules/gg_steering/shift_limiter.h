#ifndef GG_STEERING_SHIFT_LIMITER_H_
#define GG_STEERING_SHIFT_LIMITER_H_

#include <map>
#include <string>

#include "gg_core/time.h"
#include "gg_document/document.h"

namespace greengage {

/** Returns how much traffic moves from `before` to `after`: half the sum of the
    absolute differences, as a fraction. */
double ShiftSize(const RegionSplit& before, const RegionSplit& after);

/** Returns the split on the straight line from `from` to `to` whose distance
   from `from` is at most `limit`. */
RegionSplit MoveTowards(const RegionSplit& from, const RegionSplit& to,
                        double limit);

/** Split of one service's traffic from one home region at one daemon, moved no
    faster than the owners' cap allows.

    The move is spread evenly over time: at most `kLocalCapFraction` of cap per
   window, and a pause of any length is not made up for afterwards by a jump.
   The part that is left out covers the step by which the stored plan may be
   ahead of a fleet that restarts as a whole. Limits of shares add up to the
   limit of the whole, so no daemon depends on another to keep the cap.

    One thread at a time. */
class ShiftLimiter {
 public:
  /** Fraction of the cap that continuous movement may use. */
  static constexpr double kLocalCapFraction = 0.8;

  ShiftLimiter() = default;

  /** Starts at `split` without a move. */
  ShiftLimiter(RegionSplit split, TimePoint now);

  //==============================================================================
  /** Moves towards `desired` by what the time since the last call allows.
      @return the fraction of traffic that moved. */
  double Advance(const RegionSplit& desired, const ShiftSpec& spec,
                 TimePoint now);

  /** Chooses the region of the next request, so that any run of requests
     follows the split as closely as whole numbers can (smooth weighted round
     robin). Returns "" when the split is empty. */
  std::string PickRegion();

  const RegionSplit& split() const { return split_; }

 private:
  RegionSplit split_;
  std::map<std::string, double> credit_;
  TimePoint last_advance_{};
};

}  // namespace greengage

#endif  // GG_STEERING_SHIFT_LIMITER_H_
