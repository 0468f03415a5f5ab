#ifndef GG_REQUEST_TARGET_STATUS_TABLE_H_
#define GG_REQUEST_TARGET_STATUS_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gg_core/time.h"
#include "gg_fleet/fleet_view.h"

namespace greengage {

/** How one attempt at a target ended. */
enum class AttemptEnd {
  kAnswered,     // an answer of the target's own
  kShed,         // the target said that it did not run the request
  kWrongTarget,  // another target has the address; nothing was run
  kFailed,       // no whole answer, or a failure of the target's own
  kRefused,      // its address is closed: no process listens there
  kUnreachable,  // no connection within the time
  kTimedOut,     // no answer within the time
  kCancelled,    // ended from our side; says nothing about the target
};

inline constexpr EnumNames<AttemptEnd, 8> kAttemptEndNames{
    {"answered", "shed", "elsewhere", "failed", "refused", "unreachable",
     "timed_out", "cancelled"}};

/** Slowness from which a target counts as slow and is used less. Answer times
    scatter by half around their mean. */
inline constexpr double kSlowThreshold = 2.0;

/** What all other daemons together tell of a target. */
struct PeerSummary {
  int in_flight = 0;
  int ejecting_peers = 0;   // daemons that put it to ejection_time
  int slow_peers = 0;       // daemons that call it slow
  double slowness_sum = 0;  // over those
};

/** One row of the board: a target and what this daemon knows of its requests.
 */
struct TargetStatus {
  UsableTarget target;
  std::string key;  // identifier and incarnation; empty: the row is free
  uint64_t id_hash = 0;
  bool is_listed = true;  // still usable according to the store
  int own_in_flight = 0;
  int peers_in_flight = 0;    // sum of the last heartbeats
  int ejecting_peers = 0;     // other daemons that put it to ejection_time
  double peers_slowness = 1;  // mean over those that call it slow
  double reported_load = 0;   // running and waiting, from its last answer
  TimePoint reported_at{};
  double slowness = 1;  // answer times against what is usual, at slowness_at
  TimePoint slowness_at{};
  /** Objects that this daemon has seen answered there, and when last. */
  std::map<uint64_t, TimePoint> handled_objects;
  int failure_weight = 0;  // of the failures in a row
  TimePoint ejected_until{};
  int consecutive_connect_timeouts = 0;  // in a row
  /** Nothing is sent there till then: its address is closed, silent, or has
      passed to another target. */
  TimePoint absent_until{};
};

/** Table of the targets with the requests in flight at each: this daemon's own,
   what other daemons tell, and what targets tell in their answers. Traffic
   thread only. */
class TargetStatusTable {
 public:
  struct Options {
    /** Weight of failures in a row at which a target rests. Two silences do not
        come by chance; a target that loses a third of its answers still does
       more good than harm, and four in a row are rare there. */
    int ejection_threshold = 4;
    int timeout_weight = 2;  // no answer in time, or no connection
    int failure_weight = 1;  // a lost or broken answer
    /** Other daemons whose word is taken, for want of failures seen here. */
    int peer_quorum = 2;
    Duration initial_ejection_time = std::chrono::seconds(1);
    Duration max_ejection_time = std::chrono::seconds(8);
    /** How long an address that refused a connection, or let two in a row time
        out, is left: a target that starts again is away for a second or more,
        and one attempt in this time costs a caller a way and back. */
    Duration closed_address_time = std::chrono::milliseconds(500);
    /** Time-outs in a row that do not come from lost packets. */
    int connect_timeouts_until_absent = 2;
    /** How long an address that answered for another target is left: twice the
        time in which an entry lapses (three heartbeats of 1.5 s). */
    Duration reassigned_address_time = std::chrono::seconds(9);
    /** How long a target's own statement is believed. A few service times. */
    Duration report_lifetime = std::chrono::milliseconds(400);
    /** Time in which what is previous of a slow target halves. */
    Duration slowness_half_life = std::chrono::seconds(3);
    /** How long a target is taken to remember an object, and how many
       handled_objects of one target are kept in mind. */
    Duration object_lifetime = std::chrono::seconds(20);
    size_t max_objects = 128;
  };

  explicit TargetStatusTable(Options options) : options_(options) {}

  //==============================================================================
  /** Takes over the targets of a view; rows keep what is previous of them. */
  void SetTargets(const FleetView& view);

  /** Sets what other daemons tell, by target hash. */
  void SetPeerSummaries(const std::map<uint64_t, PeerSummary>& summaries);

  //==============================================================================
  /** Notes that a request goes to `row`. */
  void RecordAttemptStart(size_t row);

  /** Notes the end of an attempt.
      @param relative_time  its time against what is usual for its route, or 0
             when unknown.
      @return true when the target gets nothing for a while because of this. */
  bool RecordAttemptEnd(size_t row, AttemptEnd end, double relative_time,
                        TimePoint now);

  /** Notes that the target has handled an object. */
  void RecordObject(size_t row, uint64_t object, TimePoint now);

  /** Returns whether the target has handled the object lately, as far as this
      daemon knows. */
  bool HasHandledObject(const TargetStatus& row, uint64_t object,
                        TimePoint now) const;

  /** Notes what a target said of its load. */
  void RecordReportedLoad(size_t row, double load, TimePoint now);

  //==============================================================================
  /** Requests at the target against its slots, as far as previous. */
  double Utilization(const TargetStatus& row, TimePoint now) const;

  /** Returns whether a target gets nothing for now: it failed several times in
     a row, here or for two other daemons (one alone may have trouble of its
     own), or is tried with one request after such a time. */
  bool IsEjected(const TargetStatus& row, TimePoint now) const;

  /** Returns whether no process of the target is there, as far as previous. */
  bool IsAbsent(const TargetStatus& row, TimePoint now) const {
    return row.absent_until > now;
  }

  /** Answer times of the target against what is usual: 1 is usual. What is
     previous of it fades, so that a target that recovered is tried again. */
  double Slowness(const TargetStatus& row, TimePoint now) const;

  /** The same from this daemon's answers alone. */
  double OwnSlowness(const TargetStatus& row, TimePoint now) const;

  /** Returns the rows of `service`, as indices. */
  const std::vector<size_t>& RowsForService(const std::string& service) const;

  const TargetStatus& row(size_t index) const { return rows_[index]; }
  size_t size() const { return rows_.size(); }

 private:
  size_t AllocateRow(const std::string& key);
  bool MarkAbsent(TargetStatus* row, TimePoint now);

  Options options_;
  std::vector<TargetStatus> rows_;
  std::vector<size_t> free_rows_;              // rows to be used again
  std::map<std::string, size_t> rows_by_key_;  // "id/incarnation"
  std::map<std::string, std::vector<size_t>> rows_by_service_;
};

}  // namespace greengage

#endif  // GG_REQUEST_TARGET_STATUS_TABLE_H_
