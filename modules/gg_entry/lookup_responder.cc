#include "gg_entry/lookup_responder.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "gg_entry/weighted_sample.h"

namespace greengage {
namespace {

/** Maximum number of addresses that callers accept in one response. */
constexpr size_t kMaxAddresses = 64;

/** Makes up for the rounding of sums of capacities. */
constexpr double kRounding = 1e-6;

/** Returns what the host can carry, in cores. */
double HostCapacity(const Member& host, const LookupOptions& options) {
  if (host.link_mbps <= 0) return host.processor_cores;
  return std::min(host.processor_cores,
                  host.link_mbps / options.link_mbps_per_core);
}

/** Returns the hosts of the caller's zone, or all if that has too few hosts or
    too little capacity, or is evacuated. */
std::vector<Member> PreferZone(const std::vector<Member>& hosts,
                               const std::string& zone, const FleetView& view,
                               const LookupOptions& options) {
  if (view.evacuated_zones.count(zone) != 0) return hosts;
  std::map<std::string, double> capacities;
  double total = 0;
  std::vector<Member> of_zone;
  for (const Member& host : hosts) {
    const double capacity = HostCapacity(host, options);
    capacities[host.zone] += capacity;
    total += capacity;
    if (host.zone == zone) of_zone.push_back(host);
  }
  if (of_zone.size() < options.min_zone_hosts) return hosts;
  const double mean = total / static_cast<double>(capacities.size());
  return capacities[zone] < options.min_zone_capacity * mean ? hosts : of_zone;
}

/** Draws hosts by their capacity.
    @param count  0: as many as possible while the largest host still gets its
           whole share of the connections. */
std::vector<Member> DrawHosts(const std::vector<Member>& hosts, size_t count,
                              const LookupOptions& options, Random* random) {
  std::vector<double> capacities;
  double total = 0;
  double largest = 0;
  for (const Member& host : hosts) {
    capacities.push_back(HostCapacity(host, options));
    total += capacities.back();
    largest = std::max(largest, capacities.back());
  }
  if (count == 0) {
    count = std::clamp(static_cast<size_t>(total / largest + kRounding),
                       std::min(options.min_addresses, kMaxAddresses),
                       kMaxAddresses);
  }
  std::vector<Member> drawn;
  for (const size_t index : SampleByWeight(capacities, count, random)) {
    drawn.push_back(hosts[index]);
  }
  return drawn;
}

/** Draws the hosts to name from `hosts`, which all state their capacity. */
std::vector<Member> DrawForCaller(const std::vector<Member>& hosts,
                                  const std::string& zone,
                                  const FleetView& view,
                                  const LookupOptions& options,
                                  Random* random) {
  const std::vector<Member> preferred = PreferZone(hosts, zone, view, options);
  std::vector<Member> named = DrawHosts(preferred, 0, options, random);
  if (preferred.size() == hosts.size() || options.other_zone_addresses == 0) {
    return named;
  }
  std::vector<Member> others;
  for (const Member& host : hosts) {
    if (host.zone != zone) others.push_back(host);
  }
  for (Member& host :
       DrawHosts(others, options.other_zone_addresses, options, random)) {
    named.push_back(std::move(host));
  }
  return named;
}

}  // namespace

LookupResponse MakeLookupResponse(const LookupQuery& query,
                                  const FleetView& view, const Member& self,
                                  bool is_self_accepting,
                                  const LookupOptions& options,
                                  Random* random) {
  std::vector<Member> all = view.serving_members;
  if (is_self_accepting) all.push_back(self);
  std::vector<Member> hosts;
  for (const Member& host : all) {
    if (host.region == query.region) hosts.push_back(host);
  }
  if (hosts.empty()) hosts = std::move(all);
  const bool has_capacities =
      std::all_of(hosts.begin(), hosts.end(),
                  [](const Member& host) { return host.processor_cores > 0; });
  if (has_capacities && !hosts.empty()) {
    hosts = DrawForCaller(hosts, query.zone, view, options, random);
  }
  LookupResponse response{.lifetime = options.ttl};
  for (const Member& host : hosts) {
    if (response.addresses.size() == kMaxAddresses) break;
    response.addresses.push_back(host.traffic_address);
  }
  return response;
}

}  // namespace greengage
