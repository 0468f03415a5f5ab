#include "gg_request/target_picker.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "gg_fleet/fleet_config.h"
#include "gg_request/object_key.h"

namespace greengage {
namespace {

/** Rendezvous score of a target for an object: higher is better. Weighted by
    slots as in "weighted rendezvous hashing" (-weight / ln(hash)). */
double Score(uint64_t object, const BoardRow& row) {
  const uint64_t mixed = Random(object ^ row.id_hash).Next();
  const double unit =
      (static_cast<double>(mixed >> 11U) + 0.5) / 9007199254740992.0;
  return -row.target.record.slots / std::log(unit);
}

/** Stands for a target that is not to be used while there is another. */
constexpr double kNoUtilization = std::numeric_limits<double>::infinity();

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

TargetPicker::TargetPicker(Options options, TargetBoard* board)
    : options_(std::move(options)),
      board_(board),
      pacer_({.self = options_.self, .slack = options_.cold_slack}),
      random_(options_.seed) {}

void TargetPicker::SetView(FleetViewPtr view) {
  view_ = std::move(view);
  if (view_->config == nullptr) return;
  most_urgent_.clear();
  for (const RouteRule& route : view_->config->routes) {
    for (const ServiceShare& share : route.shares) {
      const auto [found, is_new] =
          most_urgent_.try_emplace(share.service, route.priority);
      found->second = std::min(found->second, route.priority);
    }
  }
}

double TargetPicker::FullUtilization(const PickRequest& request) const {
  const auto found = most_urgent_.find(request.service);
  const bool is_urgent =
      found == most_urgent_.end() || request.route->priority <= found->second;
  return options_.full_utilization - (is_urgent ? 0 : options_.rank_step);
}

double TargetPicker::ColdRate(const BoardRow& row) const {
  if (view_ == nullptr || view_->config == nullptr) return 0;
  const auto& services = view_->config->services;
  const auto found = services.find(row.target.record.service);
  return found == services.end() ? 0 : found->second.cold_requests_per_second;
}

bool TargetPicker::IsUsable(size_t index, const PickRequest& request,
                            TimePoint now) {
  const BoardRow& row = board_->row(index);
  if (!row.is_listed || board_->IsAbsent(row, now)) return false;
  const auto& tried = request.tried;
  if (std::find(tried.begin(), tried.end(), index) != tried.end()) return false;
  const auto& homes = request.route->home_regions;
  if (!homes.empty() && !Contains(homes, row.target.region)) return false;
  if (row.target.cold_until <= now) return true;
  return pacer_.HasRoom(row.target.record.id, ColdRate(row),
                        view_->sender_count, now);
}

std::string TargetPicker::ChooseRegion(const PickRequest& request,
                                       TimePoint now) {
  const std::string service(request.service);
  const auto& homes = request.route->home_regions;
  ServicePlan& plan =
      plans_[absl::StrCat(service, "/", absl::StrJoin(homes, ","))];
  plan.regions.clear();
  for (const std::string& region : options_.regions) {
    plan.regions[region].demand = 1;
  }
  for (const size_t index : board_->RowsOf(service)) {
    const BoardRow& row = board_->row(index);
    const std::string& region = row.target.region;
    if (!homes.empty() && !Contains(homes, region)) continue;
    if (row.ejected_until > now || board_->IsAbsent(row, now)) continue;
    plan.regions[region].capacity += row.target.record.slots;
  }
  const RegionShares planned = PlanRegionShares(options_.region, plan.regions);
  if (planned.empty()) return options_.region;
  const RegionShares& shares = plan.limiter.MoveTowards(planned, now);
  std::vector<double> weights;
  for (const std::string& region : options_.regions) {
    const auto found = shares.find(region);
    weights.push_back(found == shares.end() ? 0 : found->second);
  }
  const uint64_t object = ObjectKey(*request.route, request.object);
  if (object == 0) return options_.regions[plan.choice.Next(weights)];
  const double place = plan.objects.Place(object);
  // Callers spread over the daemons of their region.
  const double region_rate =
      arrivals_.Note(now) *
      static_cast<double>(view_->own_region_peers.size() + 1);
  const double margin = options_.region_margin / std::sqrt(region_rate);
  return options_.regions[plan.choice.NextAmong(
      weights, RegionsOfPlace(weights, place, margin))];
}

std::vector<bool> TargetPicker::RegionsOfPlace(
    const std::vector<double>& weights, double place, double margin) const {
  double total = 0;
  for (const double weight : weights) total += weight;
  std::vector<bool> is_near;
  double begin = 0;
  for (const double weight : weights) {
    const double end = begin + weight / total;
    is_near.push_back(place >= begin - margin && place < end + margin);
    begin = end;
  }
  return is_near;
}

std::vector<size_t> TargetPicker::Candidates(const PickRequest& request,
                                             const std::string& region,
                                             TimePoint now) {
  std::vector<size_t> candidates;
  for (const size_t index : board_->RowsOf(std::string(request.service))) {
    if (board_->row(index).target.region != region) continue;
    if (IsUsable(index, request, now)) candidates.push_back(index);
  }
  candidates = WithoutResting(candidates, now);
  // A cold target works so slowly that its answers are late: only where there
  // is no other.
  std::vector<size_t> warm;
  for (const size_t index : candidates) {
    if (board_->row(index).target.cold_until <= now) warm.push_back(index);
  }
  if (!warm.empty()) candidates = std::move(warm);
  const uint64_t object = ObjectKey(*request.route, request.object);
  if (object == 0) return candidates;
  std::sort(candidates.begin(), candidates.end(), [&](size_t a, size_t b) {
    return Score(object, board_->row(a)) > Score(object, board_->row(b));
  });
  return candidates;
}

std::vector<size_t> TargetPicker::WithoutResting(
    const std::vector<size_t>& candidates, TimePoint now) const {
  const auto least = static_cast<size_t>(std::ceil(
      static_cast<double>(candidates.size()) * options_.least_working_part));
  std::vector<size_t> working;
  for (const size_t index : candidates) {
    if (!board_->IsResting(board_->row(index), now)) working.push_back(index);
  }
  if (working.size() >= least) return working;
  working.clear();
  for (const size_t index : candidates) {
    if (board_->row(index).ejected_until <= now) working.push_back(index);
  }
  return working.size() >= least ? working : candidates;
}

double TargetPicker::Cost(const BoardRow& row, TimePoint now) const {
  const double slow = board_->Slowness(row, now);
  return board_->Utilization(row, now) * (slow < kSlowFrom ? 1 : slow);
}

size_t TargetPicker::PickForObject(const std::vector<size_t>& ordered,
                                   uint64_t object, TimePoint now) const {
  const auto is_slow = [&](size_t index) {
    return board_->Slowness(board_->row(index), now) >= kSlowFrom;
  };
  const auto utilization = [&](size_t index) {
    return board_->Utilization(board_->row(index), now);
  };
  const size_t first = ordered.front();
  if (!is_slow(first) && utilization(first) < options_.wait_free_utilization) {
    return first;
  }
  // A target that knows the object as well is as fast and may be less busy.
  size_t best = first;
  double best_utilization =
      is_slow(first) ? kNoUtilization : utilization(first);
  for (const size_t index : ordered) {
    if (!board_->KnowsObject(board_->row(index), object, now)) continue;
    if (is_slow(index)) continue;
    if (utilization(index) >= best_utilization) continue;
    best = index;
    best_utilization = utilization(index);
  }
  if (best_utilization < options_.stay_utilization) return best;
  for (const size_t index : ordered) {
    if (utilization(index) < options_.spill_utilization && !is_slow(index)) {
      return index;
    }
  }
  return best;
}

size_t TargetPicker::PickIdlest(const std::vector<size_t>& candidates,
                                TimePoint now) {
  const size_t start = random_.NextBelow(candidates.size());
  size_t best = candidates[start];
  for (size_t i = 0; i < candidates.size(); ++i) {
    const size_t index = candidates[(start + i) % candidates.size()];
    if (Cost(board_->row(index), now) < Cost(board_->row(best), now)) {
      best = index;
    }
  }
  return best;
}

Pick TargetPicker::Choose(const PickRequest& request, TimePoint now) {
  Pick pick;
  pick.region =
      request.region.empty() ? ChooseRegion(request, now) : request.region;
  std::vector<size_t> candidates = Candidates(request, pick.region, now);
  if (candidates.empty()) {
    // Nothing usable there: any region rather than a refusal.
    for (const std::string& region : options_.regions) {
      candidates = Candidates(request, region, now);
      if (candidates.empty()) continue;
      pick.region = region;
      break;
    }
  }
  if (candidates.empty()) {
    pick.reason = NoTarget::kNoneUsable;
    return pick;
  }
  const uint64_t object = ObjectKey(*request.route, request.object);
  const size_t best = object != 0 ? PickForObject(candidates, object, now)
                                  : PickIdlest(candidates, now);
  pick.is_first_choice = best == candidates.front();
  const BoardRow& row = board_->row(best);
  const double utilization = board_->Utilization(row, now);
  if (utilization >= FullUtilization(request)) {
    pick.reason = NoTarget::kAllFull;
    pick.refused_utilization = utilization;
    return pick;
  }
  if (row.target.cold_until > now) {
    pacer_.TryTake(row.target.record.id, ColdRate(row), view_->sender_count,
                   now);
  }
  pick.row = best;
  return pick;
}

}  // namespace greengage
