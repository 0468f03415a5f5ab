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

/** Who is in the fleet, and in what state, as one daemon sees it.

    Each daemon exchanges heartbeats with its overlay neighbours only. A silent
    neighbour becomes suspect; suspicions, arrivals and departures travel as
    single records that every daemon passes on to its neighbours once. A daemon
    that hears it is suspected answers with a higher version. There is no vote
   and no leader; differences that a lost message left behind are found by
   comparing Digest() with the neighbours'.

    (SWIM's incarnation and refutation rules: Das, Gupta and Motivala, "SWIM:
    Scalable Weakly-consistent Infection-style Process Group Membership
   Protocol", DSN 2002.)

    One thread at a time. */
class Membership {
 public:
  struct Options {
    MemberRecord self;
    OverlayOptions overlay;
    /** Silence after which a neighbour is suspected. */
    Duration suspect_after = std::chrono::milliseconds(3500);
    /** Time after which a suspect is removed. */
    Duration remove_after = std::chrono::seconds(30);
    /** Time after which the record of a removed member is dropped. */
    Duration forget_after = std::chrono::minutes(10);
    /** Called for each record that changed; the record is to be passed on to
        the neighbours. Optional. */
    std::function<void(const MemberRecord& record)> on_change;
  };

  Membership(Options options, TimePoint now);

  //==============================================================================
  /** Takes in a record from a peer.
      @return true when it was news. */
  bool Merge(const MemberRecord& record, TimePoint now);

  /** Notes that a frame of `id` arrived. */
  void RecordContact(const HostId& id, TimePoint now);

  /** Suspects silent neighbours and removes old suspects. A call that comes
     late by more than the suspicion time means that this process was paused:
     nobody is suspected until the neighbours had time to speak. */
  void Tick(TimePoint now);

  /** Announces that this daemon is leaving. */
  void Leave(TimePoint now);

  //==============================================================================
  /** Returns the addresses to exchange heartbeats with: the overlay of the
     living. Suspects are left out, or a daemon whose neighbours all fell silent
     would hear from nobody. */
  const std::vector<std::string>& Neighbours() const { return neighbours_; }

  /** Returns the records of all members that are not removed, by address. */
  std::vector<MemberRecord> Members() const;

  /** Returns every record, removed ones included. */
  std::vector<MemberRecord> AllRecords() const;

  /** Returns what is known of the daemon at `address`, or nullptr. */
  const MemberRecord* Find(const std::string& address) const;

  /** Returns the number of members alive or leaving, this daemon included. */
  int64_t LivingCount() const;

  /** Returns a hash over all records that is the same where they are. */
  uint64_t Digest() const { return digest_; }

  const MemberRecord& self() const { return self_; }

 private:
  void SetRecord(const MemberRecord& record, TimePoint now);
  void Refute(const MemberRecord& claim, TimePoint now);
  void UpdateNeighbours(TimePoint now);
  void NotifyChange(const MemberRecord& record) const;

  struct Entry {
    MemberRecord record;
    TimePoint changed_at{};
  };

  Options options_;
  MemberRecord self_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, TimePoint> last_heard_;  // neighbours only
  std::vector<std::string> neighbours_;
  TimePoint last_tick_{};
  uint64_t digest_ = 0;
};

}  // namespace greengage

#endif  // GG_STEERING_MEMBERSHIP_H_
