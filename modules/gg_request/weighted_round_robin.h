#ifndef GG_REQUEST_WEIGHTED_ROUND_ROBIN_H_
#define GG_REQUEST_WEIGHTED_ROUND_ROBIN_H_

#include <cstddef>
#include <vector>

namespace greengage {

/** Chooses entries in proportion to their weights, as evenly as possible.

    Smooth weighted round robin: after any number of choices, each entry is
    within about one choice of its share. Random choice would deviate by several
    per cent in the short windows over which the operators check shares. */
class WeightedRoundRobin {
 public:
  /** Returns the entry that is furthest behind its share.
      @param weights  weights of the entries; the same number each time,
             negative ones count as zero.
      @return the index of an entry; 0 if no weight is above zero. */
  size_t Next(const std::vector<double>& weights);

  /** Chooses among the entries that `is_allowed` marks. The others remain
      behind their share, up to a bound, and catch up once they are allowed.
      @return as Next(), which also decides if no allowed entry has weight. */
  size_t NextAmong(const std::vector<double>& weights,
                   const std::vector<bool>& is_allowed);

 private:
  std::vector<double> credit_;  // choices that each entry is behind its share
};

}  // namespace greengage

#endif  // GG_REQUEST_WEIGHTED_ROUND_ROBIN_H_
