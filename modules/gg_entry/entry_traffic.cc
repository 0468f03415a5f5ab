#include "gg_entry/entry_traffic.h"

#include <set>
#include <vector>

#include "gg_entry/forwarded_request.h"
#include "gg_entry/heartbeat_schedule.h"
#include "gg_insight/metrics.h"

namespace greengage {
namespace {

TimePoint Now() { return std::chrono::steady_clock::now(); }

/** Weight of the newest response time in a route's moving average, which thus
    spans about fifty responses. */
constexpr double kResponseTimeWeight = 0.02;

/** Fraction of the operators' retry ratio that is used. The margin is needed
    because a daemon counts requests when they arrive, while the operators count
    them in windows of their own. */
constexpr double kUsedRetryFraction = 0.8;

std::vector<std::string> DistinctRegions(const EntrySettings& settings) {
  std::set<std::string> regions;
  for (const auto& [zone, region] : settings.zone_regions) {
    regions.insert(region);
  }
  return {regions.begin(), regions.end()};
}

/** Returns the options for admission. Where no overload is expected, late
    answers are better than none, and only the ceiling applies. */
Admission::Options MakeAdmissionOptions(const EntrySettings& settings) {
  if (settings.expects_overload) return Admission::LateTolerantOptions();
  return {.is_predictive = false};
}

/** Returns how targets' load is derived. In a small fleet the heartbeats are
    young, and the highest of all sources errs on the safe side. */
LoadRule LoadRuleFor(const FleetView& view) {
  const size_t small_fleet_size = HeartbeatSchedule::Options{}.small_fleet_size;
  return static_cast<size_t>(view.sender_count) > small_fleet_size
             ? LoadRule::kEstimate
             : LoadRule::kHighestSource;
}

}  // namespace

EntryTraffic::EntryTraffic(Options options)
    : options_(std::move(options)),
      tenant_limiter_({.seed = options_.seed}),
      tenant_gate_(&tenant_limiter_, options_.metrics),
      random_(options_.seed) {
  const EntrySettings& settings = options_.settings;
  picker_ = std::make_unique<TargetPicker>(
      TargetPicker::Options{.self = settings.host_name,
                            .region = settings.region,
                            .regions = DistinctRegions(settings),
                            .seed = options_.seed,
                            .admission = MakeAdmissionOptions(settings),
                            .cold_allowance = settings.bounds.cold_allowance},
      &board_);
  SetBounds(settings.bounds);
}

void EntryTraffic::SetBounds(const EntryBounds& bounds) {
  retry_budget_.SetOptions({.ratio = bounds.retry_ratio * kUsedRetryFraction,
                            .fleet_allowance = bounds.retry_allowance,
                            .window = bounds.retry_window});
  picker_->SetColdAllowance(bounds.cold_allowance);
  picker_->SetDrainTime(bounds.drain_time);
  tenant_limiter_.SetBounds(bounds.tenant_limits);
}

void EntryTraffic::SetView(FleetViewPtr view) {
  const bool has_new_config =
      view->config != nullptr &&
      (routes_ == nullptr || routes_->config() != view->config);
  if (has_new_config) {
    routes_ = std::make_shared<RouteTable>(view->config);
    tenants_ = std::make_shared<TenantDirectory>(view->config, random_.Next());
    // The weights may have changed, so the proportions start afresh.
    service_choices_.clear();
  }
  view_ = std::move(view);
  board_.SetLoadRule(LoadRuleFor(*view_));
  board_.SetTargets(*view_);
  picker_->SetView(view_);
  tenant_limiter_.SetSenderCount(view_->sender_count);
}

TrafficLimits EntryTraffic::limits() const {
  return routes_ == nullptr ? TrafficLimits{} : routes_->config()->limits;
}

Pick EntryTraffic::ChooseTarget(const PickRequest& request, TimePoint now) {
  Pick pick = picker_->Choose(request, now);
  if (!pick.row) return pick;
  options_.metrics->RecordLatency("greengage_load_age_seconds", "",
                                  pick.load_age);
  if (pick.is_corrected) {
    options_.metrics->IncrementCounter("greengage_corrected_choices_total", "");
  }
  return pick;
}

std::string EntryTraffic::ChooseService(const RouteRule& route) {
  if (route.shares.size() == 1) return route.shares[0].service;
  std::vector<double> weights;
  weights.reserve(route.shares.size());
  for (const ServiceShare& share : route.shares) {
    weights.push_back(share.weight);
  }
  return route.shares[service_choices_[route.name].Next(weights)].service;
}

Duration EntryTraffic::TypicalResponseTime(const std::string& route) const {
  const auto found = typical_seconds_.find(route);
  return found == typical_seconds_.end() ? Duration::zero()
                                         : FromSeconds(found->second);
}

double EntryTraffic::RecordResponseTime(const std::string& route,
                                        Duration time) {
  const double seconds = ToSeconds(time);
  const auto [found, is_new] = typical_seconds_.try_emplace(route, seconds);
  double& typical = found->second;
  typical += kResponseTimeWeight * (seconds - typical);
  return typical <= 0 ? 1 : seconds / typical;
}

void EntryTraffic::InterruptRequests(TimePoint now) {
  std::vector<std::shared_ptr<ForwardedRequest>> requests;
  requests.reserve(requests_->size());
  for (ForwardedRequest* request : *requests_) {
    requests.push_back(request->shared_from_this());
  }
  for (const auto& request : requests) request->Interrupt(now);
}

void EntryTraffic::Handle(const HttpSessionPtr& session,
                          SessionRequest request) {
  std::make_shared<ForwardedRequest>(this, session, std::move(request))
      ->Start(Now());
}

}  // namespace greengage
