#ifndef GG_ENTRY_WEIGHTED_SAMPLE_H_
#define GG_ENTRY_WEIGHTED_SAMPLE_H_

#include <cstddef>
#include <vector>

#include "gg_core/random.h"

namespace greengage {

/** Draws `count` different entries at random, each with a probability in
    proportion to its weight.

    Systematic sampling over a random order: the probability of an entry is
    exactly `count` times its share of the weights, as long as that is at most
    1. Heavier entries are always drawn, and the others share the rest.
    @param weights  negative ones count as zero. If all are zero, entries are
           drawn with equal probability.
    @return indices in random order; all of them if there are no more than
            `count`. */
std::vector<size_t> SampleByWeight(const std::vector<double>& weights,
                                   size_t count, Random* random);

}  // namespace greengage

#endif  // GG_ENTRY_WEIGHTED_SAMPLE_H_
