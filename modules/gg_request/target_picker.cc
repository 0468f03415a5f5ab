#include "gg_request/target_picker.h"

#include <algorithm>
#include <cmath>

#include "gg_core/hash.h"
#include "gg_fleet/fleet_config.h"

namespace greengage {
namespace {

/** Slowness from which a target counts as slow and is used less. Answer times
    scatter by half around their mean. */
constexpr double kSlowFrom = 2.0;

/** Rendezvous score of a target for an object: higher is better. Weighted by
    slots as in "weighted rendezvous hashing" (-weight / ln(hash)). */
double Score(uint64_t object, const BoardRow& row) {
  const uint64_t mixed = Random(object ^ row.id_hash).Next();
  const double unit =
      (static_cast<double>(mixed >> 11U) + 0.5) / 9007199254740992.0;
  return -row.target.record.slots / std::log(unit);
}

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

TargetPicker::TargetPicker(Options options, TargetBoard* board)
    : options_(std::move(options)),
      board_(board),
      pacer_({.self = options_.self, .slack = options_.cold_slack}),
      random_(options_.seed) {}

void TargetPicker::SetView(FleetViewPtr view) { view_ = std::move(view); }

double TargetPicker::ColdRate(const BoardRow& row) const {
  if (view_ == nullptr || view_->config == nullptr) return 0;
  const auto& services = view_->config->services;
  const auto found = services.find(row.target.record.service);
  return found == services.end() ? 0 : found->second.cold_rate;
}

bool TargetPicker::IsUsable(size_t index, const PickRequest& request,
                            TimePoint now) {
  const BoardRow& row = board_->row(index);
  if (!row.is_listed || row.ejected_until > now) return false;
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
  ServicePlan& plan = plans_[request.route->name + "/" + service];
  plan.regions.clear();
  for (const std::string& region : options_.regions) {
    plan.regions[region].demand = 1;
  }
  const auto& homes = request.route->home_regions;
  for (const size_t index : board_->RowsOf(service)) {
    const BoardRow& row = board_->row(index);
    const std::string& region = row.target.region;
    if (!homes.empty() && !Contains(homes, region)) continue;
    if (row.ejected_until > now) continue;
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
  return options_.regions[plan.choice.Next(weights)];
}

std::vector<size_t> TargetPicker::Candidates(const PickRequest& request,
                                             const std::string& region,
                                             TimePoint now) {
  std::vector<size_t> candidates;
  for (const size_t index : board_->RowsOf(std::string(request.service))) {
    if (board_->row(index).target.region != region) continue;
    if (IsUsable(index, request, now)) candidates.push_back(index);
  }
  if (request.object.empty()) return candidates;
  const uint64_t object = Hash64(request.object);
  std::sort(candidates.begin(), candidates.end(), [&](size_t a, size_t b) {
    return Score(object, board_->row(a)) > Score(object, board_->row(b));
  });
  return candidates;
}

double TargetPicker::Cost(const BoardRow& row, TimePoint now) const {
  const double slots = std::max(row.target.record.slots, 1);
  const double slow = row.slowness < kSlowFrom ? 1 : row.slowness;
  return (board_->Utilization(row, now) + 1 / slots) * slow;
}

size_t TargetPicker::PickOf(const std::vector<size_t>& ordered, bool has_object,
                            TimePoint now, bool* is_first) {
  *is_first = false;
  if (has_object) {
    // The object's own targets first, then the next ones that are not busy.
    const size_t own = std::min(options_.object_targets, ordered.size());
    const auto cheaper = [&](size_t a, size_t b) {
      return Cost(board_->row(a), now) < Cost(board_->row(b), now);
    };
    const size_t best =
        *std::min_element(ordered.begin(), ordered.begin() + own, cheaper);
    if (Cost(board_->row(best), now) <= options_.busy_utilization) {
      *is_first = best == ordered.front();
      return best;
    }
    for (const size_t index : ordered) {
      if (Cost(board_->row(index), now) <= options_.busy_utilization) {
        return index;
      }
    }
  }
  size_t best = ordered.front();
  double lowest = Cost(board_->row(best), now);
  const size_t start = random_.Below(ordered.size());
  for (size_t i = 0; i < ordered.size(); ++i) {
    const size_t index = ordered[(start + i) % ordered.size()];
    const double cost = Cost(board_->row(index), now);
    if (cost < lowest) {
      best = index;
      lowest = cost;
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
  const size_t best =
      PickOf(candidates, !request.object.empty(), now, &pick.is_first_choice);
  const BoardRow& row = board_->row(best);
  if (board_->Utilization(row, now) >= options_.full_utilization) {
    pick.reason = NoTarget::kAllFull;
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
