#ifndef GG_REQUEST_LOAD_ESTIMATE_H_
#define GG_REQUEST_LOAD_ESTIMATE_H_

#include "gg_core/time.h"
#include "gg_request/target_load.h"

namespace greengage {

/** Estimates how many requests are at one target, from information that is
    slightly out of date.

    This daemon's requests in flight are counted exactly. The requests of other
    daemons are estimated from two sources: the target's report in its last
    response, without this daemon's requests at that time, and the sum of the
    other daemons' heartbeats. The report is exact when it is sent, and its
    weight falls with its age, and the younger the heartbeats are. The estimate
   never falls below this daemon's requests in flight.

    Traffic thread only. */
class LoadEstimate {
 public:
  struct Options {
    /** Time in which the weight of a report falls to 1/e. The requests at a
        target change within one service time, 0.1 to 0.5 s. */
    Duration report_decay = std::chrono::milliseconds(200);
    /** How long a report is used at all. */
    Duration report_lifetime = std::chrono::milliseconds(1000);
    /** Requests per slot above which a report counts as that number. Targets
        queue at most a few requests per slot. */
    double max_reported_utilization = 20;
    /** Weight of the newest report in the averages that tell whether reports
        are plausible, which thus span about ten reports. */
    double plausibility_weight = 0.1;
    /** Fraction of the other daemons' requests, as told by heartbeats, below
        which reports are implausible on average. Heartbeats also count requests
        on their way, which are a small part. */
    double min_plausible_fraction = 0.5;
    /** Number of requests by which reports may be too low besides. */
    double plausibility_slack = 1;
  };

  LoadEstimate() : LoadEstimate(Options{}) {}
  explicit LoadEstimate(Options options) : options_(options) {}

  //==============================================================================
  /** Records the load that the target reported.
      @param own_in_flight  this daemon's requests there, with the one that was
             answered. The report may include that one or not. */
  void RecordReport(const TargetLoad& load, int own_in_flight, int slots,
                    TimePoint now);

  /** Sets the sum of the other daemons' requests in flight.
      @param age  of the heartbeats that name them, on average. */
  void SetPeersInFlight(int in_flight, Duration age, TimePoint now);

  //==============================================================================
  /** Returns the estimated number of requests at the target; `own_in_flight` or
      more. */
  double Requests(int own_in_flight, TimePoint now) const;

  /** Returns the age of the newest information about other daemons'
      requests. */
  Duration Age(TimePoint now) const;

  /** Returns whether reports agree with what heartbeats tell. Reports of a
      target that always claims to be idle are not used. */
  bool IsReportPlausible() const;

 private:
  /** Returns the weight of the last report, from 0 to 1. */
  double ReportWeight(TimePoint now) const;

  Options options_;
  double others_by_report_ = 0;
  TimePoint reported_at_{};
  int peers_in_flight_ = 0;
  TimePoint peers_known_at_{};
  /** Averages over the last reports, of the requests of other daemons. */
  double average_by_report_ = 0;
  double average_by_peers_ = 0;
};

}  // namespace greengage

#endif  // GG_REQUEST_LOAD_ESTIMATE_H_
