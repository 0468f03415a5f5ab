#include "gg_request/home_regions.h"

#include <algorithm>

#include "absl/strings/str_join.h"

namespace greengage {
namespace {

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

HomeRegions::HomeRegions(const std::vector<std::string>& of_route,
                         const std::vector<std::string>& of_tenant)
    : is_restricted_(!of_route.empty() || !of_tenant.empty()) {
  for (const std::string& region : of_route.empty() ? of_tenant : of_route) {
    if (of_tenant.empty() || Contains(of_tenant, region)) {
      regions_.push_back(region);
    }
  }
  std::sort(regions_.begin(), regions_.end());
}

bool HomeRegions::Allows(const std::string& region) const {
  return !is_restricted_ || Contains(regions_, region);
}

std::string HomeRegions::Key() const {
  return is_restricted_ ? absl::StrJoin(regions_, ",") : "any";
}

}  // namespace greengage
