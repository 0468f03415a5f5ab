#ifndef GG_STEERING_LISTED_HOSTS_H_
#define GG_STEERING_LISTED_HOSTS_H_

#include <set>
#include <string>

#include "absl/status/statusor.h"

namespace greengage {

/** The hosts that are listed in the store, by peer address. */
struct ListedHosts {
  std::set<std::string> hosts;
  std::set<std::string> leaving_hosts;  // a part of `hosts`
};

/** Decodes the list of hosts. Entries without a readable address are left out;
    the others hold.
    @return kDataLoss when the value as a whole can't be read. */
absl::StatusOr<ListedHosts> ListedHostsFromJson(const std::string& text);

}  // namespace greengage

#endif  // GG_STEERING_LISTED_HOSTS_H_
