#ifndef GG_REQUEST_WEIGHTED_ROUND_ROBIN_H_
#define GG_REQUEST_WEIGHTED_ROUND_ROBIN_H_

#include <cstddef>
#include <vector>

namespace greengage {

/** Deals out choices in the proportion of weights, as evenly as possible.

    Smooth weighted round robin: after any number of choices each part is within
    one of its due share. Random choice would scatter by several per cent in the
    short windows over which shares are judged. */
class WeightedRoundRobin {
 public:
  /** Returns the part that is most behind its share.
      @param weights  of the parts; the same number of parts each time, negative
             ones count as zero.
      @return the index of a part; 0 when no weight is above zero. */
  size_t Next(const std::vector<double>& weights);

  /** The same among the parts that `is_allowed` marks; the others keep what
      they are behind, up to a bound, for choices that allow them.
      @return as Next(), which decides where no allowed part has weight. */
  size_t NextAmong(const std::vector<double>& weights,
                   const std::vector<bool>& is_allowed);

 private:
  std::vector<double> credit_;  // choices that each part is behind
};

}  // namespace greengage

#endif  // GG_REQUEST_WEIGHTED_ROUND_ROBIN_H_
