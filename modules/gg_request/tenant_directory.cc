#include "gg_request/tenant_directory.h"

#include <algorithm>

#include "gg_core/hash.h"

namespace greengage {
namespace {

/** Compares without stopping at the first difference. */
bool IsEqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  unsigned difference = 0;
  for (size_t i = 0; i < a.size(); ++i) {
    difference |=
        static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

}  // namespace

TenantDirectory::TenantDirectory(FleetConfigPtr config, uint64_t secret)
    : config_(std::move(config)), secret_(secret) {
  bool is_first = true;
  for (const TenantRule& tenant : config_->tenants) {
    highest_priority_ = is_first ? tenant.priority
                                 : std::min(highest_priority_, tenant.priority);
    is_first = false;
    for (const std::string& key : tenant.api_keys) {
      by_hash_.emplace(Hash64(key, secret_),
                       Entry{.key = key, .tenant = &tenant});
    }
  }
}

const TenantRule* TenantDirectory::Find(std::string_view key) const {
  if (key.empty()) return nullptr;
  const auto [first, last] = by_hash_.equal_range(Hash64(key, secret_));
  for (auto entry = first; entry != last; ++entry) {
    if (IsEqualInConstantTime(entry->second.key, key)) {
      return entry->second.tenant;
    }
  }
  return nullptr;
}

}  // namespace greengage
