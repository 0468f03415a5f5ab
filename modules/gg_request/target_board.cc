#include "gg_request/target_board.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "gg_core/hash.h"

namespace greengage {
namespace {

/** Weight of the newest answer in a target's slowness; some five answers count.
 */
constexpr double kSlownessWeight = 0.2;

}  // namespace

void TargetBoard::SetTargets(const FleetView& view) {
  for (BoardRow& row : rows_) row.is_listed = false;
  by_service_.clear();
  for (const UsableTarget& target : view.targets) {
    const std::string key =
        absl::StrCat(target.record.id, "/", target.record.incarnation_ms);
    const auto [found, is_new] = by_id_.try_emplace(key, 0);
    if (is_new) found->second = NewRow(key);
    BoardRow& row = rows_[found->second];
    row.target = target;
    row.id_hash = Hash64(target.record.id);
    row.is_listed = true;
    by_service_[target.record.service].push_back(found->second);
  }
  for (size_t i = 0; i < rows_.size(); ++i) {
    BoardRow& row = rows_[i];
    if (row.is_listed || row.own_in_flight > 0 || row.key.empty()) continue;
    by_id_.erase(row.key);
    row.key.clear();
    free_.push_back(i);
  }
}

size_t TargetBoard::NewRow(const std::string& key) {
  size_t index = rows_.size();
  if (free_.empty()) {
    rows_.emplace_back();
  } else {
    index = free_.back();
    free_.pop_back();
    rows_[index] = {};
  }
  rows_[index].key = key;
  return index;
}

void TargetBoard::SetPeerWork(const std::map<uint64_t, int>& in_flight) {
  for (BoardRow& row : rows_) {
    const auto found = in_flight.find(row.id_hash);
    row.peers_in_flight = found == in_flight.end() ? 0 : found->second;
  }
}

void TargetBoard::Begin(size_t row) { ++rows_[row].own_in_flight; }

bool TargetBoard::End(size_t index, AttemptEnd end, double relative_time,
                      TimePoint now) {
  BoardRow& row = rows_[index];
  --row.own_in_flight;
  switch (end) {
    case AttemptEnd::kAnswered:
      row.failures_in_row = 0;
      row.ejected_until = {};
      if (relative_time > 0) {
        const double known = Slowness(row, now);
        row.slowness = known + kSlownessWeight * (relative_time - known);
        row.slowness_at = now;
      }
      return false;
    case AttemptEnd::kShed:
    case AttemptEnd::kCancelled:
      return false;
    case AttemptEnd::kFailed:
    case AttemptEnd::kTimedOut:
      break;
  }
  ++row.failures_in_row;
  const int beyond = row.failures_in_row - options_.failures_to_eject;
  if (beyond < 0) return false;
  const Duration rest = options_.first_rest * (1 << std::min(beyond, 3));
  row.ejected_until = now + std::min(rest, options_.longest_rest);
  return true;
}

void TargetBoard::NoteObject(size_t index, uint64_t object, TimePoint now) {
  auto& objects = rows_[index].objects;
  objects[object] = now;
  if (objects.size() <= options_.most_objects) return;
  const auto oldest = std::min_element(
      objects.begin(), objects.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  objects.erase(oldest);
}

bool TargetBoard::KnowsObject(const BoardRow& row, uint64_t object,
                              TimePoint now) const {
  const auto found = row.objects.find(object);
  return found != row.objects.end() &&
         now - found->second < options_.object_lifetime;
}

double TargetBoard::Slowness(const BoardRow& row, TimePoint now) const {
  const double age =
      ToSeconds(now - row.slowness_at) / ToSeconds(options_.slowness_half_life);
  return 1 + (row.slowness - 1) * std::exp2(-age);
}

void TargetBoard::NoteReport(size_t row, double load, TimePoint now) {
  rows_[row].reported_load = load;
  rows_[row].reported_at = now;
}

double TargetBoard::Utilization(const BoardRow& row, TimePoint now) const {
  double work = row.own_in_flight + row.peers_in_flight;
  if (now - row.reported_at < options_.report_lifetime) {
    work = std::max(work, row.reported_load);
  }
  return work / std::max(row.target.record.slots, 1);
}

const std::vector<size_t>& TargetBoard::RowsOf(
    const std::string& service) const {
  static const std::vector<size_t> kNone;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? kNone : found->second;
}

}  // namespace greengage
