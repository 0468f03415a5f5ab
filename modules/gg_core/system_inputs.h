#ifndef GG_CORE_SYSTEM_INPUTS_H_
#define GG_CORE_SYSTEM_INPUTS_H_

#include <cstdint>

namespace greengage {

/** Returns the system time in microseconds since the Unix epoch. */
uint64_t WallMicroseconds();

/** Returns a seed from the random device of the operating system. It differs
    between processes. */
uint64_t RandomSeed();

}  // namespace greengage

#endif  // GG_CORE_SYSTEM_INPUTS_H_
