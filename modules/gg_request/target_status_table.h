#ifndef GG_REQUEST_TARGET_STATUS_TABLE_H_
#define GG_REQUEST_TARGET_STATUS_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gg_core/time.h"
#include "gg_fleet/fleet_view.h"
#include "gg_request/load_estimate.h"
#include "gg_request/target_load.h"
#include "gg_request/target_notices.h"

namespace greengage {

/** How an attempt to send a request to a target ended. */
enum class AttemptEnd {
  kAnswered,     // the target itself answered
  kShed,         // the target reported that it did not run the request
  kWrongTarget,  // another target has the address; nothing was run
  kFailed,       // no complete answer, or a failure of the target
  kRefused,      // connection refused: no process listens at the address
  kUnreachable,  // no connection within the time limit
  kTimedOut,     // no answer within the time limit
  kCancelled,    // ended by this daemon; says nothing about the target
};

inline constexpr EnumNames<AttemptEnd, 8> kAttemptEndNames{
    {"answered", "shed", "elsewhere", "failed", "refused", "unreachable",
     "timed_out", "cancelled"}};

/** Slowness from which a target counts as slow and receives fewer requests.
    Answer times vary by half around their mean. */
inline constexpr double kSlowThreshold = 2.0;

/** How the load of a target is derived from reports and heartbeats. */
enum class LoadRule {
  kHighestSource,  // what heartbeats or the last report say, if higher
  kEstimate        // see LoadEstimate
};

/** Sum of what all other daemons report about a target. */
struct PeerSummary {
  int in_flight = 0;
  /** Sum over the requests in flight of the ages of the heartbeats that name
      them. */
  double in_flight_age_seconds = 0;
  int ejecting_peers = 0;   // daemons that eject it or find it absent
  int slow_peers = 0;       // daemons that report it as slow
  double slowness_sum = 0;  // over the daemons that report it as slow
};

/** A target with its load and health, as observed by this daemon and as
    reported by the other daemons. */
struct TargetStatus {
  UsableTarget target;
  std::string key;  // "id/incarnation"; empty if the row is free
  uint64_t id_hash = 0;
  uint64_t key_hash = 0;
  bool is_listed = true;  // still usable according to the store
  int own_in_flight = 0;
  int peers_in_flight = 0;    // sum over the last heartbeats of other daemons
  int ejecting_peers = 0;     // other daemons that eject it or find it absent
  double peers_slowness = 1;  // mean over the daemons that report it as slow
  TargetLoad reported_load;   // by its last answer
  TimePoint reported_at{};
  LoadEstimate load_estimate;
  double slowness = 1;  // response time / usual one, as of slowness_at
  TimePoint slowness_at{};
  /** Objects for which this daemon received answers from the target, with the
      time of the latest. */
  std::map<uint64_t, TimePoint> handled_objects;
  int failure_weight = 0;  // sum over the consecutive failures
  TimePoint ejected_until{};
  int consecutive_connect_timeouts = 0;
  /** Nothing is sent to the target until then: its address refuses connections,
      does not respond, or belongs to another target. */
  TimePoint absent_until{};
  TargetNotice notice;
};

/** Table of the targets with the load and health of each.

    The number of requests at a target is derived from the requests of this
    daemon, the reports of other daemons, and the load that the target reports
    in its answers. Rows are identified by index. Traffic thread only. */
class TargetStatusTable {
 public:
  struct Options {
    /** Weight of consecutive failures at which a target is ejected, that is,
        gets no requests for a while. Two timeouts in a row do not happen by
        chance. A target that loses a third of its answers is still useful, and
        four lost answers in a row are rare there. */
    int ejection_threshold = 4;
    int timeout_weight = 2;  // no answer or no connection in time
    int failure_weight = 1;  // a lost or broken answer
    /** Number of other daemons whose reports are trusted without a failure seen
        by this daemon. */
    int peer_quorum = 2;
    Duration initial_ejection_time = std::chrono::seconds(1);
    Duration max_ejection_time = std::chrono::seconds(8);
    /** How long a target is avoided after its address refused a connection or
        let two connection attempts in a row time out. A restarting target is
        away for a second or more; one attempt in this time costs a caller one
        round trip. */
    Duration closed_address_time = std::chrono::milliseconds(500);
    /** Consecutive connection timeouts after which a target counts as absent. A
        single one may be caused by a lost packet. */
    int connect_timeouts_until_absent = 2;
    /** How long a target is avoided after another target answered at its
        address: twice the time after which its entry in the store expires
        (three heartbeats of 1.5 s). */
    Duration reassigned_address_time = std::chrono::seconds(9);
    LoadRule load_rule = LoadRule::kEstimate;
    /** How long a load reported by a target is used by kHighestSource: a few
        service times. */
    Duration report_lifetime = std::chrono::milliseconds(400);
    /** Time in which the excess slowness of a target halves. */
    Duration slowness_half_life = std::chrono::seconds(3);
    /** How long a target is assumed to remember an object. */
    Duration object_lifetime = std::chrono::seconds(20);
    /** Maximum number of objects stored for one target. */
    size_t max_objects = 128;
  };

  explicit TargetStatusTable(Options options) : options_(options) {}

  //==============================================================================
  /** Replaces the targets by those of `view`. Targets that remain keep their
      status. The row of a removed target is reused once its last request has
      ended. */
  void SetTargets(const FleetView& view);

  /** Changes how the load of targets is derived. */
  void SetLoadRule(LoadRule rule) { options_.load_rule = rule; }

  /** Sets the reports of other daemons, by hash of the target identifier.
      @param heartbeat_age  mean age of the heartbeats, for targets that none of
             them names; nothing if none was received lately. */
  void SetPeerSummaries(const std::map<uint64_t, PeerSummary>& summaries,
                        std::optional<Duration> heartbeat_age, TimePoint now);

  //==============================================================================
  /** Records that a request is sent to the target in `row`. */
  void RecordAttemptStart(size_t row);

  /** Records the end of an attempt.
      @param relative_time  response time divided by the usual one of its route,
             or 0 if unknown.
      @return true if the target gets no requests for a while because of this.
   */
  bool RecordAttemptEnd(size_t row, AttemptEnd end, double relative_time,
                        TimePoint now);

  /** Records that the target has handled an object. */
  void RecordObject(size_t row, uint64_t object, TimePoint now);

  /** Returns whether the target has handled the object recently, as far as this
      daemon knows. */
  bool HasHandledObject(const TargetStatus& row, uint64_t object,
                        TimePoint now) const;

  /** Records the load that a target reported. */
  void RecordReportedLoad(size_t row, const TargetLoad& load, TimePoint now);

  /** Records that a target said that it is leaving.
      @return true if it had not said so before. */
  bool RecordLeaving(size_t row, TimePoint now);

  /** Records that a target wants no requests from this daemon for `pause`.
      @return true if that extends the time. */
  bool RecordPause(size_t row, Duration pause, TimePoint now);

  //==============================================================================
  /** Returns the known number of requests per slot at the target. */
  double Utilization(const TargetStatus& row, TimePoint now) const;

  /** Returns whether the target is excluded because of failures.

      It is if it failed several times in a row here, if two other daemons have
      ejected it, or if one other daemon has and it failed here as well. One
      daemon alone may have a network problem of its own. After its ejection, a
      target gets one trial request at a time and counts as ejected while that
      is in flight. */
  bool IsEjected(const TargetStatus& row, TimePoint now) const;

  /** Returns whether the target is known not to be running at its address. */
  bool IsAbsent(const TargetStatus& row, TimePoint now) const {
    return row.absent_until > now;
  }

  /** Returns the response time of the target divided by the usual one, as known
      from this daemon and from others. 1 is usual. The value decays towards 1,
      so that a target that recovered is tried again. */
  double Slowness(const TargetStatus& row, TimePoint now) const;

  /** Returns the slowness as known from the answers to this daemon alone. */
  double OwnSlowness(const TargetStatus& row, TimePoint now) const;

  /** Returns the indices of the rows of `service`. */
  const std::vector<size_t>& RowsForService(const std::string& service) const;

  /** Returns the row at `index`, which must be below size(). */
  const TargetStatus& row(size_t index) const { return rows_[index]; }

  /** Returns the number of rows, including free ones. */
  size_t size() const { return rows_.size(); }

 private:
  size_t AllocateRow(const std::string& key);
  bool MarkAbsent(TargetStatus* row, TimePoint now);

  Options options_;
  TargetNotices notices_{TargetNotices::Options{}};
  std::vector<TargetStatus> rows_;
  std::vector<size_t> free_rows_;  // indices of rows to reuse
  std::map<std::string, size_t> rows_by_key_;
  std::map<std::string, std::vector<size_t>> rows_by_service_;
};

}  // namespace greengage

#endif  // GG_REQUEST_TARGET_STATUS_TABLE_H_
