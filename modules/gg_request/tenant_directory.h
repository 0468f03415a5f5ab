#ifndef GG_REQUEST_TENANT_DIRECTORY_H_
#define GG_REQUEST_TENANT_DIRECTORY_H_

#include <string_view>
#include <unordered_map>

#include "gg_fleet/fleet_config.h"

namespace greengage {

/** Finds the tenant of a key. Immutable after construction; a configuration
    with other keys needs a new directory. */
class TenantDirectory {
 public:
  /** Creates the directory of the tenants in `config`.
      @param secret  seed of the hashes of keys. As callers don't know it, the
             time of a lookup tells them nothing about other keys. */
  TenantDirectory(FleetConfigPtr config, uint64_t secret);

  /** Returns whether there are tenants, so that requests need keys. */
  bool requires_keys() const { return !config_->tenants.empty(); }

  /** Returns the tenant that holds `key`, or nullptr for an unknown or empty
      key. The time does not depend on how much of a key matches. */
  const TenantRule* Find(std::string_view key) const;

  /** Returns the most urgent priority of all tenants; 0 without tenants. */
  int highest_priority() const { return highest_priority_; }

 private:
  struct Entry {
    std::string_view key;  // in config_
    const TenantRule* tenant = nullptr;
  };

  FleetConfigPtr config_;
  uint64_t secret_;
  int highest_priority_ = 0;
  std::unordered_multimap<uint64_t, Entry> by_hash_;
};

}  // namespace greengage

#endif  // GG_REQUEST_TENANT_DIRECTORY_H_
