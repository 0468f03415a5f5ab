#include "gg_entry/lookup_responder.h"

#include <algorithm>

namespace greengage {
namespace {

/** Maximum number of addresses that callers accept in one response. */
constexpr size_t kMaxAddresses = 64;

}  // namespace

LookupResponse MakeLookupResponse(const LookupQuery& query,
                                  const FleetView& view, const Member& self,
                                  bool is_self_accepting, Duration ttl) {
  std::vector<Member> hosts = view.serving_members;
  if (is_self_accepting) hosts.push_back(self);
  LookupResponse response{.lifetime = ttl};
  for (const Member& host : hosts) {
    if (host.region == query.region) {
      response.addresses.push_back(host.traffic_address);
    }
  }
  if (response.addresses.empty()) {
    for (const Member& host : hosts) {
      response.addresses.push_back(host.traffic_address);
    }
  }
  if (response.addresses.size() > kMaxAddresses) {
    response.addresses.resize(kMaxAddresses);
  }
  return response;
}

}  // namespace greengage
