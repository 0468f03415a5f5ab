#include "gg_core/system_inputs.h"

#include <chrono>
#include <random>

namespace greengage {

uint64_t WallMicroseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32U) | device();
}

}  // namespace greengage
