#include "gg_entry/lookup_responder.h"

#include <algorithm>

namespace greengage {
namespace {

/** Addresses that callers take out of one answer. */
constexpr size_t kMostAddresses = 64;

}  // namespace

LookupAnswer AnswerLookup(const LookupQuery& query, const FleetView& view,
                          const Member& self, bool serves, Duration lifetime) {
  std::vector<Member> hosts = view.serving_members;
  if (serves) hosts.push_back(self);
  LookupAnswer answer{.lifetime = lifetime};
  for (const Member& host : hosts) {
    if (host.region == query.region) {
      answer.addresses.push_back(host.traffic_address);
    }
  }
  if (answer.addresses.empty()) {
    for (const Member& host : hosts) {
      answer.addresses.push_back(host.traffic_address);
    }
  }
  if (answer.addresses.size() > kMostAddresses) {
    answer.addresses.resize(kMostAddresses);
  }
  return answer;
}

}  // namespace greengage
