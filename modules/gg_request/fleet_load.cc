#include "gg_request/fleet_load.h"

#include <algorithm>
#include <cmath>

namespace greengage {
namespace {

/** Time in which the weight of observed growth falls to 1/e, seconds. As long
   as the interval of heartbeats within a region of a large fleet. */
constexpr double kGrowthTimeConstant = 0.5;

/** Interval between two reports of a daemon, in seconds, beyond which the
   growth from one to the other counts less, because it may be over. */
constexpr double kShortReportInterval = 0.6;

/** Time over which growth has gone on, as a multiple of the age of the reports:
    it is older than the reports that show it. */
constexpr double kGrowthAge = 1.25;

}  // namespace

double FleetLoad::DecayingSum::Value(TimePoint now) const {
  return sum * std::exp(-ToSeconds(now - updated_at) / kGrowthTimeConstant);
}

void FleetLoad::DecayingSum::Add(double value, TimePoint now) {
  sum = Value(now) + value;
  updated_at = now;
}

void SubjectLoad::Add(const SubjectLoad& load, int sign) {
  for (size_t i = 0; i < kDemandClassCount; ++i) {
    demand[i] += sign * load.demand[i];
  }
  sends += sign * load.sends;
}

void FleetLoad::RecordPeerReports(const std::string& host,
                                  std::map<uint64_t, SubjectLoad> reports,
                                  TimePoint now) {
  for (const auto& [id, report] : reports) subjects_.try_emplace(id);
  PeerReports& peer = peers_[host];
  if (peer.is_fresh) RecordGrowth(peer, reports, now);
  AddToSums(peer, -1);
  peer = {.subjects = std::move(reports), .received_at = now, .is_fresh = true};
  AddToSums(peer, 1);
  hearing_ = {};
}

void FleetLoad::RecordGrowth(const PeerReports& last,
                             const std::map<uint64_t, SubjectLoad>& reports,
                             TimePoint now) {
  const double interval = ToSeconds(now - last.received_at);
  if (interval <= 0) return;
  const double weight =
      std::pow(std::min(kShortReportInterval / interval, 1.0), 2);
  growth_time_.Add(weight * interval, now);
  for (const auto& [id, report] : reports) {
    const auto before = last.subjects.find(id);
    const double sends_before =
        before == last.subjects.end() ? 0 : before->second.sends;
    subjects_[id].growth.Add(weight * (report.sends - sends_before), now);
  }
  for (const auto& [id, report] : last.subjects) {
    if (reports.contains(id)) continue;
    subjects_[id].growth.Add(-weight * report.sends, now);
  }
}

void FleetLoad::AddToSums(const PeerReports& peer, int sign) {
  for (const auto& [id, report] : peer.subjects) {
    const auto found = subjects_.find(id);
    if (found == subjects_.end()) continue;
    Subject& subject = found->second;
    (peer.is_fresh ? subject.fresh_reports : subject.outdated_reports)
        .Add(report, sign);
  }
}

const FleetLoad::Hearing& FleetLoad::UpdateHearing(TimePoint now) {
  if (hearing_.at == now) return hearing_;
  hearing_ = {.at = now};
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    PeerReports& reports = peer->second;
    const Duration age = now - reports.received_at;
    if (reports.is_fresh && age >= options_.report_freshness) {
      AddToSums(reports, -1);
      reports.is_fresh = false;
      AddToSums(reports, 1);
    }
    if (age >= options_.report_lifetime) {
      AddToSums(reports, -1);
      peer = peers_.erase(peer);
      continue;
    }
    if (reports.is_fresh) {
      ++hearing_.fresh_peers;
      hearing_.age_sum += ToSeconds(age);
    }
    ++peer;
  }
  return hearing_;
}

double FleetLoad::Demand(const DecayingRate& rate, TimePoint now) const {
  const double time_constant = ToSeconds(options_.demand_time_constant);
  return rate.count / time_constant *
         std::exp(-ToSeconds(now - rate.updated_at) / time_constant);
}

void FleetLoad::RecordDemand(uint64_t id, size_t demand_class, TimePoint now) {
  DecayingRate& rate = subjects_[id].demand[demand_class];
  rate.count = Demand(rate, now) * ToSeconds(options_.demand_time_constant) + 1;
  rate.updated_at = now;
}

void FleetLoad::RecordSend(uint64_t id, TimePoint now) {
  std::deque<TimePoint>& sends = subjects_[id].sends;
  while (!sends.empty() &&
         now - sends.front() >= options_.window + options_.history) {
    sends.pop_front();
  }
  sends.push_back(now);
}

int FleetLoad::OwnSends(uint64_t id, TimePoint end) const {
  const auto found = subjects_.find(id);
  if (found == subjects_.end()) return 0;
  const std::deque<TimePoint>& sends = found->second.sends;
  const auto first =
      std::upper_bound(sends.begin(), sends.end(), end - options_.window);
  const auto last = std::upper_bound(first, sends.end(), end);
  return static_cast<int>(last - first);
}

SubjectLoad FleetLoad::Own(uint64_t id, TimePoint now) {
  SubjectLoad own;
  const auto found = subjects_.find(id);
  if (found == subjects_.end()) return own;
  for (size_t i = 0; i < kDemandClassCount; ++i) {
    own.demand[i] = Demand(found->second.demand[i], now);
  }
  own.sends = OwnSends(id, now);
  return own;
}

FleetLoad::Totals FleetLoad::FleetTotals(uint64_t id, TimePoint now,
                                         double hidden_senders) {
  const Hearing& hearing = UpdateHearing(now);
  const Subject& subject = subjects_[id];
  Totals totals{.load = subject.fresh_reports,
                .fresh_peers = hearing.fresh_peers};
  totals.load.Add(Own(id, now), 1);
  const double window = ToSeconds(options_.window);
  const int heard = hearing.fresh_peers + 1;  // with this daemon
  const double unheard = std::max(sender_count_ - heard, 0) + hidden_senders;
  totals.sender_count = std::max(sender_count_, heard);
  if (hearing.fresh_peers > 0) {
    totals.mean_age = hearing.age_sum / hearing.fresh_peers;
  }
  const double growth_time = growth_time_.Value(now);
  if (growth_time > 0 && totals.fresh_peers > 0) {
    // What grows by chance while the requests stay as many: half the standard
    // deviation, and one request.
    const double chance =
        1 + 0.5 * std::sqrt(totals.load.sends / (window * heard) * growth_time);
    totals.unreported_growth =
        std::max(subject.growth.Value(now) - chance, 0.0) / growth_time *
        kGrowthAge * hearing.age_sum;
  }
  const double unheard_ratio = unheard / heard;
  totals.staleness =
      (hearing.age_sum + unheard * window) / ((heard + unheard) * window);
  const auto add_unheard = [&](double* sum, double outdated) {
    *sum += std::max(*sum * unheard_ratio, outdated);
  };
  const SubjectLoad& outdated = subject.outdated_reports;
  for (size_t i = 0; i < kDemandClassCount; ++i) {
    add_unheard(&totals.load.demand[i], outdated.demand[i]);
  }
  add_unheard(&totals.load.sends, outdated.sends);
  return totals;
}

}  // namespace greengage
