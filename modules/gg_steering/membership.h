#ifndef GG_STEERING_MEMBERSHIP_H_
#define GG_STEERING_MEMBERSHIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gg_core/time.h"
#include "gg_steering/member_record.h"
#include "gg_steering/overlay.h"

namespace greengage {

/** Members of the fleet and their states, as one daemon sees them.

    Each daemon exchanges heartbeats only with its neighbours in the overlay. A
    neighbour that falls silent becomes suspect. Suspicions, arrivals and
    departures travel as single records, which every daemon passes on to its
    neighbours once. A daemon that learns that it is suspected refutes this with
    a higher version of its record. There is no vote and no leader. Differences
    caused by lost messages are found by comparing Digest() with the neighbours.

    The incarnation and refutation rules are those of SWIM: Das, Gupta and
    Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
    Membership Protocol", DSN 2002.

    Not thread-safe. */
class Membership {
 public:
  struct Options {
    MemberRecord self;
    OverlayOptions overlay;
    /** Time without a frame after which a neighbour is suspected. */
    Duration suspect_after = std::chrono::milliseconds(3500);
    /** Time after which a suspected member is removed. */
    Duration remove_after = std::chrono::seconds(30);
    /** Time after which the record of a removed member is dropped. */
    Duration forget_after = std::chrono::minutes(10);
    /** Called for each changed record, which is then to be passed on to the
        neighbours. Optional. */
    std::function<void(const MemberRecord& record)> on_change;
  };

  Membership(Options options, TimePoint now);

  //==============================================================================
  /** Merges a record from a peer. A record about this daemon that supersedes
      its own is refuted.
      @return true when the record superseded the known one. */
  bool Merge(const MemberRecord& record, TimePoint now);

  /** Records that a frame from `id` arrived. */
  void RecordContact(const HostId& id, TimePoint now);

  /** Suspects silent neighbours, removes members that were suspected for too
      long and drops old records. A call that comes half the suspicion time or
      more after the previous one means that this process was paused; the
      neighbours then get the full time again before one is suspected. */
  void Tick(TimePoint now);

  /** Sets this daemon's state to leaving and announces it. */
  void Leave(TimePoint now);

  //==============================================================================
  /** Returns the addresses of the daemons to exchange heartbeats with: the
      neighbours in the overlay of the living members. Suspected members are
      left out; otherwise a daemon whose neighbours have all fallen silent would
      hear from nobody. */
  const std::vector<std::string>& Neighbours() const { return neighbours_; }

  /** Returns the records of all members that are not removed, in the order of
      their addresses. */
  std::vector<MemberRecord> Members() const;

  /** Returns all records, those of removed members included. */
  std::vector<MemberRecord> AllRecords() const;

  /** Returns the record of the daemon at `address`, or nullptr. */
  const MemberRecord* Find(const std::string& address) const;

  /** Returns the number of members that are alive or leaving, this daemon
      included. */
  int64_t LivingCount() const;

  /** Returns a hash over the records of all members that are not removed. Equal
      records give equal hashes on every daemon. */
  uint64_t Digest() const { return digest_; }

  const MemberRecord& self() const { return self_; }

 private:
  void SetRecord(const MemberRecord& record, TimePoint now);

  /** Answers a record that claims a worse state of this daemon with a higher
      version of its own record. */
  void Refute(const MemberRecord& claim, TimePoint now);

  void UpdateNeighbours(TimePoint now);
  void NotifyChange(const MemberRecord& record) const;

  struct Entry {
    MemberRecord record;
    TimePoint changed_at{};
  };

  Options options_;
  MemberRecord self_;
  std::map<std::string, Entry> entries_;         // by address
  std::map<std::string, TimePoint> last_heard_;  // neighbours only
  std::vector<std::string> neighbours_;
  TimePoint last_tick_{};
  uint64_t digest_ = 0;
};

}  // namespace greengage

#endif  // GG_STEERING_MEMBERSHIP_H_
