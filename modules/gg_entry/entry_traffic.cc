#include "gg_entry/entry_traffic.h"

#include <set>

#include "gg_entry/request_run.h"
#include "gg_insight/metrics.h"

namespace greengage {
namespace {

TimePoint Now() { return std::chrono::steady_clock::now(); }

/** Weight of the newest answer time of a route; some fifty answers count. */
constexpr double kUsualTimeWeight = 0.02;

/** Part of the operators' retry ratio that is used: daemons count their
   requests when they arrive, the operators in windows of their own. */
constexpr double kUsedRetryRatio = 0.8;

std::vector<std::string> Regions(const EntrySettings& settings) {
  std::set<std::string> regions;
  for (const auto& [zone, region] : settings.zone_regions) {
    regions.insert(region);
  }
  return {regions.begin(), regions.end()};
}

}  // namespace

EntryTraffic::EntryTraffic(Options options)
    : options_(std::move(options)), random_(options_.seed) {
  const EntrySettings& settings = options_.settings;
  picker_ = std::make_unique<TargetPicker>(
      TargetPicker::Options{.self = settings.host_name,
                            .region = settings.region,
                            .regions = Regions(settings),
                            .seed = options_.seed,
                            .cold_allowance = settings.bounds.cold_allowance},
      &board_);
  SetBounds(settings.bounds);
}

void EntryTraffic::SetBounds(const EntryBounds& bounds) {
  retries_.SetOptions({.ratio = bounds.retry_ratio * kUsedRetryRatio,
                       .fleet_allowance = bounds.retry_allowance,
                       .window = bounds.retry_window});
  picker_->SetColdAllowance(bounds.cold_allowance);
}

void EntryTraffic::SetView(FleetViewPtr view) {
  const bool has_new_config =
      view->config != nullptr &&
      (routes_ == nullptr || routes_->config() != view->config);
  if (has_new_config) {
    routes_ = std::make_shared<RouteTable>(view->config);
    // Shares of a split are counted anew: weights may have changed.
    splits_.clear();
  }
  view_ = std::move(view);
  board_.SetTargets(*view_);
  picker_->SetView(view_);
}

TrafficLimits EntryTraffic::limits() const {
  return routes_ == nullptr ? TrafficLimits{} : routes_->config()->limits;
}

std::string EntryTraffic::ChooseService(const RouteRule& route) {
  if (route.shares.size() == 1) return route.shares[0].service;
  std::vector<double> weights;
  weights.reserve(route.shares.size());
  for (const ServiceShare& share : route.shares) {
    weights.push_back(share.weight);
  }
  return route.shares[splits_[route.name].Next(weights)].service;
}

Duration EntryTraffic::UsualTime(const std::string& route) const {
  const auto found = usual_seconds_.find(route);
  return found == usual_seconds_.end() ? Duration::zero()
                                       : FromSeconds(found->second);
}

double EntryTraffic::RelativeTime(const std::string& route, Duration time) {
  const double seconds = ToSeconds(time);
  const auto [found, is_new] = usual_seconds_.try_emplace(route, seconds);
  double& usual = found->second;
  usual += kUsualTimeWeight * (seconds - usual);
  return usual <= 0 ? 1 : seconds / usual;
}

void EntryTraffic::Handle(const HttpSessionPtr& session,
                          SessionRequest request) {
  std::make_shared<RequestRun>(this, session, std::move(request))->Start(Now());
}

}  // namespace greengage
