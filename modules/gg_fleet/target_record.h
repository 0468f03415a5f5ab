#ifndef GG_FLEET_TARGET_RECORD_H_
#define GG_FLEET_TARGET_RECORD_H_

#include <cstdint>
#include <string>

#include "gg_core/time.h"

namespace greengage {

/** A target as it registered itself in the store. */
struct TargetRecord {
  std::string id;
  std::string service;
  std::string address;  // "ip:port"
  std::string zone;
  int slots = 1;  // requests that it runs concurrently
  bool is_draining = false;
  Duration remaining_cold_duration{};  // at the time of the write
  uint64_t incarnation_ms = 0;         // start time, Unix milliseconds
  double sequence = 0;  // grows with each entry of the same incarnation
};

}  // namespace greengage

#endif  // GG_FLEET_TARGET_RECORD_H_
