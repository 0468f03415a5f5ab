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

/** Doublings of a rest, up to `longest_rest`. */
constexpr int kMostDoublings = 3;

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
    if (row.target.record.address != target.record.address) {
      row.absent_until = {};
    }
    // A target that turned cold has lost what it remembered.
    if (target.cold_until > row.target.cold_until) row.objects.clear();
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

void TargetBoard::SetPeerNotes(const std::map<uint64_t, PeerNotes>& notes) {
  for (BoardRow& row : rows_) {
    const auto found = notes.find(row.id_hash);
    const PeerNotes told = found == notes.end() ? PeerNotes{} : found->second;
    row.peers_in_flight = told.in_flight;
    row.peers_resting = told.resting;
    row.peers_slowness = told.slow < options_.daemons_to_believe
                             ? 1
                             : told.slowness_sum / told.slow;
  }
}

bool TargetBoard::IsResting(const BoardRow& row, TimePoint now) const {
  if (row.ejected_until > now) return true;
  const bool is_doubted = row.failure_weight > 0;
  if (row.peers_resting >= options_.daemons_to_believe) return true;
  if (row.peers_resting > 0 && is_doubted) return true;
  // After its rest one request at a time tells whether it has recovered.
  return row.failure_weight >= options_.weight_to_rest && row.own_in_flight > 0;
}

void TargetBoard::Begin(size_t row) { ++rows_[row].own_in_flight; }

bool TargetBoard::End(size_t index, AttemptEnd end, double relative_time,
                      TimePoint now) {
  BoardRow& row = rows_[index];
  --row.own_in_flight;
  switch (end) {
    case AttemptEnd::kAnswered:
      row.failure_weight = 0;
      row.connects_failed = 0;
      row.ejected_until = {};
      if (relative_time > 0) {
        const double known = OwnSlowness(row, now);
        row.slowness = known + kSlownessWeight * (relative_time - known);
        row.slowness_at = now;
      }
      return false;
    case AttemptEnd::kShed:
    case AttemptEnd::kCancelled:
      return false;
    case AttemptEnd::kElsewhere: {
      // Its entry lapses within seconds; until then nothing reaches it.
      const bool is_news = row.absent_until <= now;
      row.absent_until = now + options_.elsewhere_time;
      return is_news;
    }
    case AttemptEnd::kRefused:
      return Miss(&row, now);
    case AttemptEnd::kFailed:
      row.failure_weight += options_.failure_weight;
      break;
    case AttemptEnd::kUnreachable:
      if (++row.connects_failed >= options_.connects_to_miss) {
        return Miss(&row, now);
      }
      row.failure_weight += options_.silence_weight;
      break;
    case AttemptEnd::kTimedOut:
      row.failure_weight += options_.silence_weight;
      break;
  }
  const int beyond = row.failure_weight - options_.weight_to_rest;
  if (beyond < 0) return false;
  const int doublings =
      std::min(beyond / options_.silence_weight, kMostDoublings);
  const Duration rest = options_.first_rest * (1 << doublings);
  row.ejected_until = now + std::min(rest, options_.longest_rest);
  return true;
}

bool TargetBoard::Miss(BoardRow* row, TimePoint now) {
  const bool is_news = row->absent_until <= now;
  row->absent_until = now + options_.absent_time;
  return is_news;
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

double TargetBoard::OwnSlowness(const BoardRow& row, TimePoint now) const {
  const double age =
      ToSeconds(now - row.slowness_at) / ToSeconds(options_.slowness_half_life);
  return 1 + (row.slowness - 1) * std::exp2(-age);
}

double TargetBoard::Slowness(const BoardRow& row, TimePoint now) const {
  return std::max(OwnSlowness(row, now), row.peers_slowness);
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
