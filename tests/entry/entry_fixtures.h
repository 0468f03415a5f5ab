#ifndef TESTS_ENTRY_ENTRY_FIXTURES_H_
#define TESTS_ENTRY_ENTRY_FIXTURES_H_

#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "gg_fleet/gg_fleet.h"

namespace greengage {

/** Start of the simulated time of every test. */
inline constexpr TimePoint kStart{std::chrono::hours(1)};

/** Returns the simulated time `seconds` after kStart. */
inline TimePoint At(double seconds) { return kStart + FromSeconds(seconds); }

/** Returns the record of a target of the service "shop". */
inline TargetRecord MakeTarget(const std::string& id, const std::string& zone,
                               int slots = 9) {
  return {.id = id,
          .service = "shop",
          .address = "10.0.0.1:80",
          .zone = zone,
          .slots = slots,
          .incarnation_ms = 1000};
}

/** Returns a daemon in the region "north". */
inline Member MakeMember(const std::string& name) {
  return {.name = name,
          .traffic_address = name + ":80",
          .peer_address = name + ":7000",
          .zone = "north-a",
          .region = "north",
          .incarnation = 7};
}

/** Returns a view with one service "shop", one sticky route, and the given
    number of targets in each region. */
inline FleetView MakeView(
    const std::vector<std::pair<std::string, int>>& targets_by_region,
    int slots = 9) {
  auto config = std::make_shared<FleetConfig>();
  config->version = 1;
  RouteRule route;
  route.name = "browse";
  route.host = "shop.example";
  route.prefix = "/";
  route.kind = RequestKind::kIdempotent;
  route.time_limit = std::chrono::milliseconds(1500);
  route.shares = {{"shop", 1}};
  route.max_attempts = 2;
  route.is_sticky = true;
  config->routes.push_back(route);
  config->services["shop"] = {.cold_duration = std::chrono::seconds(3),
                              .cold_requests_per_second = 7.5};
  FleetView view;
  view.config = config;
  view.sender_count = 11;
  for (const auto& [region, count] : targets_by_region) {
    for (int i = 0; i < count; ++i) {
      UsableTarget target;
      target.record =
          MakeTarget(absl::StrCat(region, "-", i), region + "-a", slots);
      target.region = region;
      view.targets.push_back(target);
    }
  }
  return view;
}

}  // namespace greengage

#endif  // TESTS_ENTRY_ENTRY_FIXTURES_H_
