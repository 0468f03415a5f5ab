#ifndef GG_REQUEST_FLEET_LOAD_H_
#define GG_REQUEST_FLEET_LOAD_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "gg_core/time.h"

namespace greengage {

/** Number of classes in which demand is counted separately. */
inline constexpr size_t kDemandClassCount = 3;

/** What one or several daemons send to a subject of a rate limit. */
struct SubjectLoad {
  std::array<double, kDemandClassCount> demand{};  // requests per second
  double sends = 0;                                // in the window

  /** Adds `load` `sign` times, 1 or -1. */
  void Add(const SubjectLoad& load, int sign);
};

/** Adds up what all daemons of the fleet want to send and have sent to the
    subjects of rate limits, such as targets or tenants.

    The own part is counted; that of the others is known from their reports.
    Daemons that may be sending but are not heard count at least as much as the
    average of those that are, and at least as much as they last reported, so
    that the parts of a divided fleet stay within a limit together. Traffic
    thread only. */
class FleetLoad {
 public:
  struct Options {
    /** Time over which requests are counted. */
    Duration window{};
    /** How much longer than the window own requests are remembered. */
    Duration history{};
    /** Time in which the weight of a request in the demand falls to 1/e. */
    Duration demand_time_constant{};
    /** Age from which a daemon's last report is outdated. */
    Duration report_freshness{};
    /** How long an outdated report is taken into account. */
    Duration report_lifetime{};
  };

  /** Sums over all daemons. */
  struct Totals {
    SubjectLoad load;
    /** Mean age of the reports, from 0 to 1 for the length of the window. */
    double staleness = 0;
    int fresh_peers = 0;   // other daemons with a fresh report
    double mean_age = 0;   // of the fresh reports, seconds
    int sender_count = 1;  // that may be sending, with this one
    /** Requests by which the daemons with fresh reports have probably grown
        beyond these since, by the growth that recent reports show. */
    double unreported_growth = 0;
  };

  explicit FleetLoad(Options options) : options_(options) {}

  //==============================================================================
  /** Changes the window. */
  void SetWindow(Duration window) { options_.window = window; }

  /** Sets the upper bound on the daemons that may be sending, with this one. */
  void SetSenderCount(int count) { sender_count_ = count; }

  /** Replaces the reports of another daemon, by subject. */
  void RecordPeerReports(const std::string& host,
                         std::map<uint64_t, SubjectLoad> reports,
                         TimePoint now);

  /** Counts an own request as demand. */
  void RecordDemand(uint64_t subject, size_t demand_class, TimePoint now);

  /** Counts an own request that is sent. */
  void RecordSend(uint64_t subject, TimePoint now);

  /** Forgets what is known of a subject. */
  void Forget(uint64_t subject) { subjects_.erase(subject); }

  /** Forgets the reports whose lifetime is over. */
  void Tick(TimePoint now) { UpdateHearing(now); }

  //==============================================================================
  /** Returns this daemon's own part. */
  SubjectLoad Own(uint64_t subject, TimePoint now);

  /** Returns the own requests in the window that ended at `end`, which may lie
      in the past by up to Options::history. */
  int OwnSends(uint64_t subject, TimePoint end) const;

  /** Returns an estimate for all daemons together.
      @param hidden_senders  daemons whose requests no report contains, besides
             those that are not heard; a fraction of one for a part of its
             requests. */
  Totals FleetTotals(uint64_t subject, TimePoint now,
                     double hidden_senders = 0);

 private:
  /** A sum whose parts lose weight with time. */
  struct DecayingSum {
    double sum = 0;
    TimePoint updated_at{};

    double Value(TimePoint now) const;
    void Add(double value, TimePoint now);
  };
  /** A rate that decays exponentially without requests. */
  struct DecayingRate {
    double count = 0;
    TimePoint updated_at{};
  };
  struct Subject {
    std::array<DecayingRate, kDemandClassCount> demand;
    std::deque<TimePoint> sends;   // in the window and the history before it
    SubjectLoad fresh_reports;     // sum of the other daemons' fresh reports
    SubjectLoad outdated_reports;  // sum of those that are outdated
    /** Recent growth of the requests in the window from one report of a daemon
        to the next, weighted. */
    DecayingSum growth;
  };
  struct PeerReports {
    std::map<uint64_t, SubjectLoad> subjects;
    TimePoint received_at{};
    bool is_fresh = false;
  };
  /** How well the other daemons are heard at a moment. */
  struct Hearing {
    TimePoint at{};
    int fresh_peers = 0;
    double age_sum = 0;  // of the fresh reports, seconds
  };

  double Demand(const DecayingRate& rate, TimePoint now) const;
  /** Records how a daemon's requests grew from its last reports to `reports`.
   */
  void RecordGrowth(const PeerReports& last,
                    const std::map<uint64_t, SubjectLoad>& reports,
                    TimePoint now);
  /** Adds the reports of a daemon `sign` times to the sums by subject. */
  void AddToSums(const PeerReports& peer, int sign);
  /** Moves outdated reports to the sums of outdated ones and forgets those
      whose lifetime is over. Does so once for each value of `now`. */
  const Hearing& UpdateHearing(TimePoint now);

  Options options_;
  int sender_count_ = 1;
  std::map<uint64_t, Subject> subjects_;
  std::map<std::string, PeerReports> peers_;  // by host name
  Hearing hearing_;
  /** Seconds over which Subject::growth was observed, with the same weights. */
  DecayingSum growth_time_;
};

}  // namespace greengage

#endif  // GG_REQUEST_FLEET_LOAD_H_
