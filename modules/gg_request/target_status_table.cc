#include "gg_request/target_status_table.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "gg_core/hash.h"

namespace greengage {
namespace {

/** Weight of the newest answer in the moving average of a target's slowness,
    which covers about five answers. */
constexpr double kSlownessWeight = 0.2;

/** Age of information that does not exist. */
constexpr Duration kUnknownAge = std::chrono::hours(1);

/** Maximum number of times that the ejection time is doubled; the result is
    also limited to `max_ejection_time`. */
constexpr int kMaxEjectionDoublings = 3;

}  // namespace

void TargetStatusTable::SetTargets(const FleetView& view) {
  for (TargetStatus& row : rows_) row.is_listed = false;
  rows_by_service_.clear();
  for (const UsableTarget& target : view.targets) {
    const std::string key =
        absl::StrCat(target.record.id, "/", target.record.incarnation_ms);
    const auto [found, is_new] = rows_by_key_.try_emplace(key, 0);
    if (is_new) found->second = AllocateRow(key);
    TargetStatus& row = rows_[found->second];
    if (row.target.record.address != target.record.address) {
      row.absent_until = {};
    }
    // A target that turned cold has lost its cached objects.
    if (target.cold_until > row.target.cold_until) row.handled_objects.clear();
    row.target = target;
    row.id_hash = Hash64(target.record.id);
    row.is_listed = true;
    rows_by_service_[target.record.service].push_back(found->second);
  }
  for (size_t i = 0; i < rows_.size(); ++i) {
    TargetStatus& row = rows_[i];
    if (row.is_listed || row.own_in_flight > 0 || row.key.empty()) continue;
    rows_by_key_.erase(row.key);
    row.key.clear();
    free_rows_.push_back(i);
  }
}

size_t TargetStatusTable::AllocateRow(const std::string& key) {
  size_t index = rows_.size();
  if (free_rows_.empty()) {
    rows_.emplace_back();
  } else {
    index = free_rows_.back();
    free_rows_.pop_back();
    rows_[index] = {};
  }
  rows_[index].key = key;
  rows_[index].key_hash = Hash64(key);
  rows_[index].notice = notices_.Find(rows_[index].key_hash);
  return index;
}

void TargetStatusTable::SetPeerSummaries(
    const std::map<uint64_t, PeerSummary>& summaries,
    std::optional<Duration> heartbeat_age, TimePoint now) {
  for (TargetStatus& row : rows_) {
    const auto found = summaries.find(row.id_hash);
    const PeerSummary summary =
        found == summaries.end() ? PeerSummary{} : found->second;
    row.peers_in_flight = summary.in_flight;
    // Without heartbeats, the target's own reports count alone.
    const Duration age =
        summary.in_flight == 0
            ? heartbeat_age.value_or(kUnknownAge)
            : FromSeconds(summary.in_flight_age_seconds / summary.in_flight);
    row.load_estimate.SetPeersInFlight(summary.in_flight, age, now);
    row.ejecting_peers = summary.ejecting_peers;
    row.peers_slowness = summary.slow_peers < options_.peer_quorum
                             ? 1
                             : summary.slowness_sum / summary.slow_peers;
  }
}

bool TargetStatusTable::IsEjected(const TargetStatus& row,
                                  TimePoint now) const {
  if (row.ejected_until > now) return true;
  const bool has_failures = row.failure_weight > 0;
  if (row.ejecting_peers >= options_.peer_quorum) return true;
  if (row.ejecting_peers > 0 && has_failures) return true;
  // After the ejection, one request at a time tests whether the target has
  // recovered.
  return row.failure_weight >= options_.ejection_threshold &&
         row.own_in_flight > 0;
}

void TargetStatusTable::RecordAttemptStart(size_t row) {
  ++rows_[row].own_in_flight;
}

bool TargetStatusTable::RecordAttemptEnd(size_t index, AttemptEnd end,
                                         double relative_time, TimePoint now) {
  TargetStatus& row = rows_[index];
  --row.own_in_flight;
  switch (end) {
    case AttemptEnd::kAnswered:
      row.failure_weight = 0;
      row.consecutive_connect_timeouts = 0;
      row.ejected_until = {};
      if (relative_time > 0) {
        const double previous = OwnSlowness(row, now);
        row.slowness = previous + kSlownessWeight * (relative_time - previous);
        row.slowness_at = now;
      }
      return false;
    case AttemptEnd::kShed:
    case AttemptEnd::kCancelled:
      return false;
    case AttemptEnd::kWrongTarget: {
      // Its entry in the store expires within seconds; until then the target
      // cannot be reached.
      const bool was_present = row.absent_until <= now;
      row.absent_until = now + options_.reassigned_address_time;
      return was_present;
    }
    case AttemptEnd::kRefused:
      return MarkAbsent(&row, now);
    case AttemptEnd::kFailed:
      row.failure_weight += options_.failure_weight;
      break;
    case AttemptEnd::kUnreachable:
      if (++row.consecutive_connect_timeouts >=
          options_.connect_timeouts_until_absent) {
        return MarkAbsent(&row, now);
      }
      row.failure_weight += options_.timeout_weight;
      break;
    case AttemptEnd::kTimedOut:
      row.failure_weight += options_.timeout_weight;
      break;
  }
  const int excess_weight = row.failure_weight - options_.ejection_threshold;
  if (excess_weight < 0) return false;
  const int doublings =
      std::min(excess_weight / options_.timeout_weight, kMaxEjectionDoublings);
  const Duration ejection_time =
      options_.initial_ejection_time * (1 << doublings);
  row.ejected_until = now + std::min(ejection_time, options_.max_ejection_time);
  return true;
}

bool TargetStatusTable::MarkAbsent(TargetStatus* row, TimePoint now) {
  const bool was_present = row->absent_until <= now;
  row->absent_until = now + options_.closed_address_time;
  return was_present;
}

void TargetStatusTable::RecordObject(size_t index, uint64_t object,
                                     TimePoint now) {
  auto& handled_objects = rows_[index].handled_objects;
  handled_objects[object] = now;
  if (handled_objects.size() <= options_.max_objects) return;
  const auto oldest = std::min_element(
      handled_objects.begin(), handled_objects.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  handled_objects.erase(oldest);
}

bool TargetStatusTable::HasHandledObject(const TargetStatus& row,
                                         uint64_t object, TimePoint now) const {
  const auto found = row.handled_objects.find(object);
  return found != row.handled_objects.end() &&
         now - found->second < options_.object_lifetime;
}

double TargetStatusTable::OwnSlowness(const TargetStatus& row,
                                      TimePoint now) const {
  const double age =
      ToSeconds(now - row.slowness_at) / ToSeconds(options_.slowness_half_life);
  return 1 + (row.slowness - 1) * std::exp2(-age);
}

double TargetStatusTable::Slowness(const TargetStatus& row,
                                   TimePoint now) const {
  return std::max(OwnSlowness(row, now), row.peers_slowness);
}

void TargetStatusTable::RecordReportedLoad(size_t row, const TargetLoad& load,
                                           TimePoint now) {
  TargetStatus& status = rows_[row];
  status.reported_load = load;
  status.reported_at = now;
  status.load_estimate.RecordReport(load, status.own_in_flight,
                                    status.target.record.slots, now);
}

bool TargetStatusTable::RecordLeaving(size_t index, TimePoint now) {
  TargetStatus& row = rows_[index];
  const bool is_new = !row.notice.leaving_since.has_value();
  notices_.RecordLeaving(row.key_hash, now);
  row.notice = notices_.Find(row.key_hash);
  return is_new;
}

bool TargetStatusTable::RecordPause(size_t index, Duration pause,
                                    TimePoint now) {
  TargetStatus& row = rows_[index];
  const TimePoint previous_end = row.notice.paused_until;
  notices_.RecordPause(row.key_hash, now + pause);
  row.notice = notices_.Find(row.key_hash);
  return row.notice.paused_until > previous_end;
}

double TargetStatusTable::Utilization(const TargetStatus& row,
                                      TimePoint now) const {
  const int slots = std::max(row.target.record.slots, 1);
  if (options_.load_rule == LoadRule::kEstimate) {
    return row.load_estimate.Requests(row.own_in_flight, now) / slots;
  }
  double requests = row.own_in_flight + row.peers_in_flight;
  if (now - row.reported_at < options_.report_lifetime) {
    requests = std::max(requests, row.reported_load.requests());
  }
  return requests / slots;
}

const std::vector<size_t>& TargetStatusTable::RowsForService(
    const std::string& service) const {
  static const std::vector<size_t> kNoRows;
  const auto found = rows_by_service_.find(service);
  return found == rows_by_service_.end() ? kNoRows : found->second;
}

}  // namespace greengage
