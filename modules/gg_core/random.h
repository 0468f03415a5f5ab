#ifndef GG_CORE_RANDOM_H_
#define GG_CORE_RANDOM_H_

#include <cstdint>

namespace greengage {

/** Small deterministic random number generator.

    The algorithm is SplitMix64 (Steele, Lea and Flood, "Fast Splittable
    Pseudorandom Number Generators", OOPSLA 2014). Not suitable for
    cryptography. An instance may be used by one thread at a time. */
class Random {
 public:
  explicit Random(uint64_t seed) : state_(seed) {}

  /** Returns 64 random bits. */
  uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15U;
    uint64_t z = state_;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31U);
  }

  /** Returns a number in [0, bound); 0 when `bound` is 0. */
  uint64_t NextBelow(uint64_t bound) { return bound == 0 ? 0 : Next() % bound; }

  /** Returns a number in [0, 1). */
  double NextDouble() {
    constexpr double kScale = 1.0 / 9007199254740992.0;
    return static_cast<double>(Next() >> 11U) * kScale;
  }

 private:
  uint64_t state_;
};

}  // namespace greengage

#endif  // GG_CORE_RANDOM_H_
