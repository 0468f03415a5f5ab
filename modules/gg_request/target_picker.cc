#include "gg_request/target_picker.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>

#include "absl/strings/str_cat.h"
#include "gg_fleet/fleet_config.h"
#include "gg_request/object_key.h"

namespace greengage {
namespace {

/** Weight of the newest response time in a service's moving average. */
constexpr double kResponseTimeWeight = 0.02;

/** Returns the rendezvous score of a target for an object; higher is better.
    Weighted by capacity as in weighted rendezvous hashing
    (-weight / ln(hash)). */
double RendezvousScore(uint64_t object, const TargetStatus& row,
                       double capacity) {
  const uint64_t mixed = Random(object ^ row.id_hash).Next();
  const double unit =
      (static_cast<double>(mixed >> 11U) + 0.5) / 9007199254740992.0;
  return -capacity / std::log(unit);
}

/** Stands for a target that is used only if there is no other. */
constexpr double kUnusableUtilization = std::numeric_limits<double>::infinity();

}  // namespace

TargetPicker::TargetPicker(Options options, TargetStatusTable* targets)
    : options_(std::move(options)),
      targets_(targets),
      cold_limiter_(
          {.self = options_.self, .allowance = options_.cold_allowance}),
      rate_limiter_({.seed = options_.seed}),
      zone_placement_(options_.zones),
      admission_(options_.admission),
      random_(options_.seed) {}

void TargetPicker::SetView(FleetViewPtr view) {
  view_ = std::move(view);
  rate_limiter_.SetSenderCount(view_->sender_count);
  zone_placement_.SetHosts(
      view_->own_zone_peers.size() + 1,
      view_->own_region_peers.size() - view_->own_zone_peers.size());
  if (view_->config == nullptr) return;
  highest_priority_.clear();
  const std::vector<TenantRule>& tenants = view_->config->tenants;
  highest_tenant_priority_ = 0;
  if (!tenants.empty()) {
    highest_tenant_priority_ =
        std::min_element(tenants.begin(), tenants.end(),
                         [](const TenantRule& a, const TenantRule& b) {
                           return a.priority < b.priority;
                         })
            ->priority;
  }
  for (const RouteRule& route : view_->config->routes) {
    for (const ServiceShare& share : route.shares) {
      const auto [found, is_new] =
          highest_priority_.try_emplace(share.service, route.priority);
      found->second = std::min(found->second, route.priority);
    }
  }
}

bool TargetPicker::HasHighestPriority(const PickRequest& request) const {
  const bool is_behind_tenant =
      request.tenant != nullptr &&
      request.tenant->priority > highest_tenant_priority_;
  if (is_behind_tenant) return false;
  const auto found = highest_priority_.find(request.service);
  return found == highest_priority_.end() ||
         request.route->priority <= found->second;
}

AdmissionRequest TargetPicker::DescribeForAdmission(
    const std::vector<size_t>& candidates, const PickRequest& request,
    size_t position, TimePoint now) {
  const TargetStatus& target = targets_->row(candidates[position]);
  const uint64_t object = ObjectKey(*request.route, request.object);
  AdmissionRequest described{
      .route = request.route,
      .tenant = request.tenant,
      .service = request.service,
      .region = target.target.region,
      .is_remote = target.target.region != options_.region,
      .has_highest_priority = HasHighestPriority(request),
      .target_slots = std::max<double>(target.target.record.slots, 1),
      .pace = std::max(target.reported_load.pace, 0.1),
      .time_used = request.time_used,
      .time_left = request.time_left,
      .sender_count = view_->sender_count};
  described.target_requests =
      targets_->Utilization(target, now) * described.target_slots;
  if (object != 0 && targets_->HasHandledObject(target, object, now)) {
    described.knowledge = ObjectKnowledge::kHandled;
  } else if (position == 0 && object != 0) {
    described.knowledge = ObjectKnowledge::kFirstChoice;
  }
  for (const size_t index : candidates) {
    const TargetStatus& row = targets_->row(index);
    described.pool.own_requests += row.own_in_flight;
    described.pool.requests += row.own_in_flight + row.peers_in_flight;
    described.pool.slots += Capacity(row);
  }
  return described;
}

void TargetPicker::RecordOutcome(const PickRequest& request, const Pick& pick,
                                 Duration response_time, TimePoint now) {
  admission_.RecordOutcome(
      {.route = request.route->name,
       .service = request.service,
       .region = pick.region,
       .is_remote = pick.region != options_.region,
       .knowledge = pick.knowledge,
       .wait = pick.admission.wait,
       .response_time = response_time,
       .pace = targets_->row(*pick.row).reported_load.pace},
      now);
}

double TargetPicker::ColdRate(const TargetStatus& row) const {
  if (view_ == nullptr || view_->config == nullptr) return 0;
  const auto& services = view_->config->services;
  const auto found = services.find(row.target.record.service);
  return found == services.end() ? 0 : found->second.cold_requests_per_second;
}

double TargetPicker::Capacity(const TargetStatus& row) const {
  const double slots = row.target.record.slots;
  const std::optional<double> limit = rate_limiter_.Limit(row.key_hash);
  if (!limit) return slots;
  return std::min(slots, *limit * ResponseSeconds(row.target.record.service));
}

double TargetPicker::ResponseSeconds(const std::string& service) const {
  const auto found = response_seconds_.find(service);
  return found == response_seconds_.end()
             ? ToSeconds(options_.default_response_time)
             : found->second;
}

void TargetPicker::RecordResponseTime(const std::string& service,
                                      Duration time) {
  const double seconds = ToSeconds(time);
  const auto [found, is_new] = response_seconds_.try_emplace(
      service, ToSeconds(options_.default_response_time));
  found->second += kResponseTimeWeight * (seconds - found->second);
}

SendPermission TargetPicker::PermissionToSend(size_t index, TimePoint now) {
  const TargetStatus& row = targets_->row(index);
  if (!row.is_listed) return {.barrier = SendBarrier::kUnlisted};
  if (targets_->IsAbsent(row, now)) {
    return {.barrier = SendBarrier::kAbsent, .ends_at = row.absent_until};
  }
  const TargetNotice& notice = row.notice;
  const bool is_leaving = notice.leaving_since.has_value();
  if (is_leaving && now >= *notice.leaving_since + options_.drain_time) {
    return {.barrier = SendBarrier::kLeaving};
  }
  if (notice.paused_until > now) {
    return {.barrier = SendBarrier::kPaused, .ends_at = notice.paused_until};
  }
  const bool is_cold = row.target.cold_until > now;
  if (is_cold && !cold_limiter_.CanTake(row.target.record.id, ColdRate(row),
                                        view_->sender_count, now)) {
    return {.barrier = SendBarrier::kColdShare};
  }
  return {.is_last_resort = is_leaving};
}

bool TargetPicker::IsEligible(size_t index, const PickRequest& request) const {
  const auto& tried = request.tried;
  if (std::find(tried.begin(), tried.end(), index) != tried.end()) return false;
  return request.home_regions.Allows(targets_->row(index).target.region);
}

void TargetPicker::ExplainNoneUsable(const PickRequest& request, TimePoint now,
                                     Pick* pick) {
  pick->reason = NoTargetReason::kNoneUsable;
  for (const size_t index :
       targets_->RowsForService(std::string(request.service))) {
    if (!IsEligible(index, request)) continue;
    const SendPermission permission = PermissionToSend(index, now);
    ++pick->barred_targets[static_cast<size_t>(permission.barrier)];
    if (permission.barrier != SendBarrier::kPaused) continue;
    const Duration delay = *permission.ends_at - now;
    const bool is_first = pick->reason != NoTargetReason::kAllPaused;
    pick->reason = NoTargetReason::kAllPaused;
    if (is_first || delay < pick->admission_delay) {
      pick->admission_delay = delay;
    }
  }
}

bool TargetPicker::HasCapacity(const TargetStatus& row, TimePoint now) const {
  if (row.ejected_until > now || targets_->IsAbsent(row, now)) return false;
  return !row.notice.leaving_since && row.notice.paused_until <= now;
}

std::string TargetPicker::ChooseRegion(const PickRequest& request,
                                       TimePoint now) {
  const std::string service(request.service);
  const HomeRegions& home_regions = request.home_regions;
  ServicePlan& plan = plans_[absl::StrCat(service, "/", home_regions.Key())];
  plan.regions.clear();
  for (const std::string& region : options_.regions) {
    plan.regions[region].demand = 1;
  }
  double slots = 0;
  double used_slots = 0;
  for (const size_t index : targets_->RowsForService(service)) {
    const TargetStatus& row = targets_->row(index);
    const std::string& region = row.target.region;
    if (!home_regions.Allows(region)) continue;
    if (!HasCapacity(row, now)) continue;
    plan.regions[region].capacity += Capacity(row);
    slots += Capacity(row);
    used_slots +=
        Capacity(row) * std::min(1.0, targets_->Utilization(row, now));
  }
  const RegionShares planned = KeepUpToUtilization(
      options_.region, PlanRegionShares(options_.region, plan.regions),
      plan.regions,
      slots <= 0 ? 1 : plan.utilization.Record(used_slots / slots, now),
      options_.local_utilization);
  if (planned.empty()) return options_.region;
  const RegionShares& shares = plan.limiter.MoveTowards(planned, now);
  std::vector<double> weights;
  for (const std::string& region : options_.regions) {
    const auto found = shares.find(region);
    weights.push_back(found == shares.end() ? 0 : found->second);
  }
  const uint64_t object = ObjectKey(*request.route, request.object);
  if (object == 0) return options_.regions[plan.round_robin.Next(weights)];
  const double position = plan.object_distribution.RecordRequest(object);
  // The requests of a region are spread evenly over its daemons.
  const double region_rate =
      arrival_rate_.RecordArrival(now) *
      static_cast<double>(view_->own_region_peers.size() + 1);
  const double margin = options_.region_margin / std::sqrt(region_rate);
  return options_.regions[plan.round_robin.NextAmong(
      weights, RegionsNear(weights, position, margin))];
}

std::vector<bool> TargetPicker::RegionsNear(const std::vector<double>& weights,
                                            double position,
                                            double margin) const {
  double total = 0;
  for (const double weight : weights) total += weight;
  std::vector<bool> is_near;
  double begin = 0;
  for (const double weight : weights) {
    const double end = begin + weight / total;
    is_near.push_back(position >= begin - margin && position < end + margin);
    begin = end;
  }
  return is_near;
}

std::vector<size_t> TargetPicker::CandidatesInAnyRegion(
    const PickRequest& request, std::string* region, TimePoint now) {
  for (const bool is_last_resort : {false, true}) {
    auto candidates = Candidates(request, *region, is_last_resort, now);
    if (!candidates.empty()) return candidates;
    // Any other region is better than a refusal.
    for (const std::string& other : options_.regions) {
      candidates = Candidates(request, other, is_last_resort, now);
      if (candidates.empty()) continue;
      *region = other;
      return candidates;
    }
  }
  return {};
}

std::vector<size_t> TargetPicker::Candidates(const PickRequest& request,
                                             const std::string& region,
                                             bool is_last_resort,
                                             TimePoint now) {
  std::vector<size_t> candidates;
  for (const size_t index :
       targets_->RowsForService(std::string(request.service))) {
    if (targets_->row(index).target.region != region) continue;
    if (!IsEligible(index, request)) continue;
    const SendPermission permission = PermissionToSend(index, now);
    if (permission.is_granted() &&
        permission.is_last_resort == is_last_resort) {
      candidates.push_back(index);
    }
  }
  candidates = WithoutEjected(candidates, now);
  // A cold target is so slow that its answers are late. It is used only if
  // there is no other.
  std::vector<size_t> warm;
  for (const size_t index : candidates) {
    if (targets_->row(index).target.cold_until <= now) warm.push_back(index);
  }
  if (!warm.empty()) candidates = std::move(warm);
  const uint64_t object = ObjectKey(*request.route, request.object);
  if (object == 0) return candidates;
  std::vector<std::pair<double, size_t>> scored;
  scored.reserve(candidates.size());
  for (const size_t index : candidates) {
    const TargetStatus& row = targets_->row(index);
    scored.emplace_back(RendezvousScore(object, row, Capacity(row)), index);
  }
  std::sort(scored.begin(), scored.end(), std::greater<>());
  for (size_t i = 0; i < scored.size(); ++i) candidates[i] = scored[i].second;
  return candidates;
}

std::vector<size_t> TargetPicker::ZoneFirst(
    const PickRequest& request, const std::vector<size_t>& candidates,
    TimePoint now) {
  const std::string service(request.service);
  std::map<std::string, double> capacity;
  for (const size_t index : targets_->RowsForService(service)) {
    const TargetStatus& row = targets_->row(index);
    const bool is_cold = row.target.cold_until > now;
    if (row.target.region != options_.region || is_cold) continue;
    if (!HasCapacity(row, now) || targets_->IsEjected(row, now)) continue;
    capacity[row.target.record.zone] += Capacity(row);
  }
  const uint64_t object = ObjectKey(*request.route, request.object);
  const std::string zone =
      zone_placement_.ChooseZone(service, capacity, object, now);
  std::vector<ZonePlacement::Candidate> placed;
  placed.reserve(candidates.size());
  for (const size_t index : candidates) {
    const TargetStatus& row = targets_->row(index);
    placed.push_back({.row = index, .zone = row.target.record.zone});
    if (object != 0) continue;  // the order alone matters
    // A target with a rate limit may refuse the next request at any load.
    placed.back().utilization = rate_limiter_.Limit(row.key_hash)
                                    ? kUnusableUtilization
                                    : Utilization(index, now);
  }
  return zone_placement_.Arrange(placed, zone, object != 0);
}

std::vector<size_t> TargetPicker::WithoutEjected(
    const std::vector<size_t>& candidates, TimePoint now) const {
  const auto min_working = static_cast<size_t>(std::ceil(
      static_cast<double>(candidates.size()) * options_.min_healthy_fraction));
  std::vector<size_t> working;
  for (const size_t index : candidates) {
    if (!targets_->IsEjected(targets_->row(index), now)) {
      working.push_back(index);
    }
  }
  if (working.size() >= min_working) return working;
  working.clear();
  for (const size_t index : candidates) {
    if (targets_->row(index).ejected_until <= now) working.push_back(index);
  }
  return working.size() >= min_working ? working : candidates;
}

double TargetPicker::LoadCost(const TargetStatus& row, TimePoint now) const {
  const double slowness = targets_->Slowness(row, now);
  return targets_->Utilization(row, now) *
         (slowness < kSlowThreshold ? 1 : slowness);
}

double TargetPicker::Utilization(size_t index, TimePoint now) {
  const TargetStatus& row = targets_->row(index);
  return std::max(targets_->Utilization(row, now),
                  rate_limiter_.Utilization(row.key_hash, now));
}

double TargetPicker::MeanUnlimitedUtilization(
    const std::vector<size_t>& candidates, TimePoint now) const {
  double sum = 0;
  int count = 0;
  for (const size_t index : candidates) {
    const TargetStatus& row = targets_->row(index);
    if (rate_limiter_.Limit(row.key_hash)) continue;
    sum += targets_->Utilization(row, now);
    ++count;
  }
  return count == 0 ? 0 : sum / count;
}

double TargetPicker::LoadUncertainty(const std::vector<size_t>& candidates,
                                     TimePoint now) const {
  double total = 0;
  double uncertain = 0;
  for (const size_t index : candidates) {
    const TargetStatus& row = targets_->row(index);
    const double requests = row.load_estimate.Requests(row.own_in_flight, now);
    // Waiting lengthens responses. Without this bound the information would
    // count as fresher the more uneven the load is.
    const double seconds = std::min(ResponseSeconds(row.target.record.service),
                                    ToSeconds(options_.default_response_time));
    const double age = ToSeconds(row.load_estimate.Age(now)) / seconds;
    total += requests;
    uncertain += (requests - row.own_in_flight) * age;
  }
  return total <= 0 ? 0 : uncertain / total;
}

size_t TargetPicker::ObjectCopies(const PickRequest& request,
                                  size_t targets) const {
  const std::string prefix = absl::StrCat(std::string(request.service), "/");
  double objects = 0;
  double requests = 0;
  for (auto plan = plans_.lower_bound(prefix);
       plan != plans_.end() && plan->first.starts_with(prefix); ++plan) {
    objects += plan->second.object_distribution.EstimatedObjectCount();
    requests += plan->second.object_distribution.request_count();
  }
  if (requests < options_.min_requests_to_spread) return 1;
  const double copies = options_.max_objects_per_target *
                        static_cast<double>(targets) / std::max(objects, 1.0);
  if (copies < 1) return 1;
  return std::min({targets, options_.max_object_copies,
                   static_cast<size_t>(std::min(copies, 1000.0))});
}

std::optional<size_t> TargetPicker::PickSpread(
    const std::vector<size_t>& ordered, size_t copies, uint64_t object,
    double uncertainty, TimePoint now) {
  std::vector<size_t> usable;
  for (size_t i = 0; i < ordered.size(); ++i) {
    const size_t index = ordered[i];
    const TargetStatus& row = targets_->row(index);
    const bool is_own = i < copies;
    if (!is_own && !targets_->HasHandledObject(row, object, now)) continue;
    if (targets_->Slowness(row, now) >= kSlowThreshold) continue;
    const double utilization = Utilization(index, now);
    if (is_own &&
        random_.NextDouble() >= utilization / options_.spread_utilization) {
      return index;
    }
    if (utilization < options_.max_affinity_utilization) {
      usable.push_back(index);
    }
  }
  if (usable.empty()) return std::nullopt;
  return BetterOfTwo(usable, uncertainty, now);
}

size_t TargetPicker::BetterOfTwo(const std::vector<size_t>& candidates,
                                 double uncertainty, TimePoint now) {
  const size_t first = candidates[random_.NextBelow(candidates.size())];
  const size_t second = candidates[random_.NextBelow(candidates.size())];
  const double margin = uncertainty * options_.random_choice_margin;
  return LoadCost(targets_->row(second), now) <
                 LoadCost(targets_->row(first), now) - margin
             ? second
             : first;
}

std::optional<size_t> TargetPicker::PickForObject(
    const std::vector<size_t>& ordered, const std::vector<bool>& is_passed_over,
    const PickRequest& request, TimePoint now, Pick* pick) {
  const uint64_t object = ObjectKey(*request.route, request.object);
  const bool is_any_passed_over =
      std::find(is_passed_over.begin(), is_passed_over.end(), true) !=
      is_passed_over.end();
  const size_t copies = ObjectCopies(request, ordered.size());
  if (copies > 1 && !is_any_passed_over) {
    const double uncertainty = LoadUncertainty(ordered, now);
    if (uncertainty >= options_.max_certain_uncertainty) {
      const std::optional<size_t> spread =
          PickSpread(ordered, copies, object, uncertainty, now);
      if (spread) {
        pick->is_corrected = *spread != ordered.front();
        return spread;
      }
    }
  }
  // An object that is new to a target takes three times as long there. When the
  // targets without a limit are busy, it would delay requests that they serve
  // in time, also if one of them is idle for a moment.
  const bool can_spill_over =
      !is_passed_over[0] || MeanUnlimitedUtilization(ordered, now) <
                                options_.max_spillover_utilization;
  const double max_spillover_utilization =
      can_spill_over ? options_.max_spillover_utilization : 0;
  // Another target that has handled the object is as fast as the first one and
  // may be less busy.
  std::optional<size_t> best;
  double best_utilization = kUnusableUtilization;
  std::optional<size_t> spillover;
  for (size_t i = 0; i < ordered.size(); ++i) {
    const size_t index = ordered[i];
    const TargetStatus& row = targets_->row(index);
    if (is_passed_over[i]) continue;
    const bool is_slow = targets_->Slowness(row, now) >= kSlowThreshold;
    const double utilization = Utilization(index, now);
    if (i == 0) {
      if (!is_slow && utilization < options_.no_wait_utilization) return index;
      best = index;
      if (!is_slow) best_utilization = utilization;
      continue;
    }
    if (is_slow) continue;
    if (targets_->HasHandledObject(row, object, now) &&
        utilization < best_utilization) {
      best = index;
      best_utilization = utilization;
    }
    const bool can_take_over = i < options_.max_limited_spillover_rank ||
                               !rate_limiter_.Limit(row.key_hash).has_value();
    if (!spillover && can_take_over &&
        utilization < max_spillover_utilization) {
      spillover = index;
    }
  }
  if (best_utilization < options_.max_affinity_utilization) return best;
  return spillover ? spillover : best;
}

std::optional<size_t> TargetPicker::PickLeastLoaded(
    const std::vector<size_t>& candidates,
    const std::vector<bool>& is_passed_over, TimePoint now, Pick* pick) {
  const bool is_any_passed_over =
      std::find(is_passed_over.begin(), is_passed_over.end(), true) !=
      is_passed_over.end();
  const double uncertainty = LoadUncertainty(candidates, now);
  if (!is_any_passed_over && uncertainty >= options_.max_certain_uncertainty) {
    const double max_cost = options_.admission.full_utilization -
                            options_.admission.low_priority_reduction;
    const auto is_full = [&](size_t index) {
      return LoadCost(targets_->row(index), now) >= max_cost;
    };
    pick->is_corrected = true;
    const size_t one = BetterOfTwo(candidates, uncertainty, now);
    if (!is_full(one)) return one;
    // A request for which a full target is chosen is refused.
    std::vector<size_t> usable;
    for (const size_t index : candidates) {
      if (!is_full(index)) usable.push_back(index);
    }
    if (!usable.empty()) return BetterOfTwo(usable, uncertainty, now);
    pick->is_corrected = false;
  }
  const size_t start = random_.NextBelow(candidates.size());
  std::optional<size_t> best;
  double best_cost = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const size_t position = (start + i) % candidates.size();
    if (is_passed_over[position]) continue;
    const double cost = LoadCost(targets_->row(candidates[position]), now);
    if (best && cost >= best_cost) continue;
    best = candidates[position];
    best_cost = cost;
  }
  return best;
}

std::optional<size_t> TargetPicker::PickAdmitting(
    const std::vector<size_t>& candidates, const PickRequest& request,
    TimePoint now, Pick* pick) {
  const uint64_t object = ObjectKey(*request.route, request.object);
  std::vector<bool> is_passed_over(candidates.size(), false);
  bool is_recorded = !request.tried.empty();
  for (;;) {
    const std::optional<size_t> best =
        object != 0
            ? PickForObject(candidates, is_passed_over, request, now, pick)
            : PickLeastLoaded(candidates, is_passed_over, now, pick);
    if (!best) {
      if (pick->rate_limited_targets == 0) return std::nullopt;
      break;
    }
    const TargetStatus& row = targets_->row(*best);
    const size_t position =
        std::find(candidates.begin(), candidates.end(), *best) -
        candidates.begin();
    const AdmissionRequest described =
        DescribeForAdmission(candidates, request, position, now);
    if (!is_recorded) admission_.RecordArrival(described, now);
    is_recorded = true;
    pick->admission = admission_.Decide(described, now);
    pick->knowledge = described.knowledge;
    if (!pick->admission.is_admitted()) {
      pick->reason = pick->admission.reason == AdmissionReason::kTargetFull
                         ? NoTargetReason::kAllFull
                         : NoTargetReason::kNotAdmitted;
      pick->refused_utilization = targets_->Utilization(row, now);
      const bool is_late = pick->admission.reason == AdmissionReason::kLate;
      if (!is_late || object == 0 || is_passed_over[0]) {
        pick->admission_delay = Duration::zero();
        return std::nullopt;
      }
      // Another target may be idle.
      is_passed_over[position] = true;
      continue;
    }
    pick->reason = NoTargetReason::kNone;
    auto urgency = OfferUrgency::kPassedOn;
    if (*best == candidates.front() || object == 0) {
      urgency = HasHighestPriority(request) ? OfferUrgency::kUrgent
                                            : OfferUrgency::kOther;
    }
    if (rate_limiter_.TryAdmit(row.key_hash, urgency, now)) return best;
    const Duration delay =
        rate_limiter_.TimeUntilAdmission(row.key_hash, urgency, now);
    if (pick->rate_limited_targets++ == 0 || delay < pick->admission_delay) {
      pick->admission_delay = delay;
    }
    is_passed_over[position] = true;
  }
  pick->reason = NoTargetReason::kRateLimited;
  pick->refused_utilization = 0;
  return std::nullopt;
}

Pick TargetPicker::Choose(const PickRequest& request, TimePoint now) {
  Pick pick;
  pick.region =
      request.region.empty() ? ChooseRegion(request, now) : request.region;
  std::vector<size_t> candidates =
      CandidatesInAnyRegion(request, &pick.region, now);
  if (candidates.empty()) {
    ExplainNoneUsable(request, now, &pick);
    return pick;
  }
  if (zone_placement_.is_enabled() && pick.region == options_.region) {
    candidates = ZoneFirst(request, candidates, now);
  }
  const std::optional<size_t> best =
      PickAdmitting(candidates, request, now, &pick);
  if (!best) return pick;
  pick.is_first_choice = *best == candidates.front();
  const TargetStatus& row = targets_->row(*best);
  pick.load_age = row.load_estimate.Age(now);
  rate_limiter_.RecordSend(row.key_hash, now);
  if (row.target.cold_until > now) {
    cold_limiter_.TryTake(row.target.record.id, ColdRate(row),
                          view_->sender_count, now);
  }
  pick.row = best;
  return pick;
}

}  // namespace greengage
