#ifndef GG_STEERING_CONTROLLER_H_
#define GG_STEERING_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gg_core/random.h"
#include "gg_core/time.h"
#include "gg_steering/controller_hooks.h"
#include "gg_steering/document_replica.h"
#include "gg_steering/listed_hosts.h"
#include "gg_steering/loan_broker.h"
#include "gg_steering/membership.h"
#include "gg_steering/peer_message.h"
#include "gg_steering/plan_replica.h"
#include "gg_steering/slice_ownership.h"
#include "gg_steering/steering.h"

namespace greengage {

/** Control logic of one daemon: membership, the document, the plan, slices and
    loans.

    Events and the current time are passed in by the On...() methods and Tick().
    Actions are passed out through the hooks, and the resulting decisions are
    put into force in a Steering.

    Not thread-safe. The daemon calls it on its control thread, tests call it in
    virtual time. */
class Controller {
 public:
  struct Options {
    MemberRecord self;
    std::vector<std::string> seeds;  // peer addresses to join the fleet by
    uint64_t seed = 1;               // of random numbers
    Duration heartbeat_interval = std::chrono::seconds(1);
    /** Least time between two attempts to write the same key; a random time of
        up to the same length is added. */
    Duration min_write_interval = std::chrono::milliseconds(500);
    /** Time for which a new daemon waits for the positions of its peers before
        it starts from the stored plan. */
    Duration position_timeout = std::chrono::seconds(1);
    /** Time between two ticks above which this process is taken to have been
        paused; it then stops using its slices until they are confirmed. */
    Duration pause_threshold = std::chrono::seconds(2);
    /** Time after which a daemon that was paused uses its slices again even if
        neither the store nor a peer has confirmed them. */
    Duration confirmation_timeout = std::chrono::seconds(5);
    /** Number of daemons in each availability zone that watch the store. */
    int watchers_per_zone = 2;
    Membership::Options membership;  // self and on_change are set here
    /** See SliceOwnership::Options::gone_after. */
    Duration host_gone_after = std::chrono::minutes(2);
  };

  /** @param steering  receives the decisions; not owned, must outlive this
                       object. */
  Controller(Options options, ControllerHooks hooks, Steering* steering,
             TimePoint now);

  //==============================================================================
  /** Runs everything that is due. To be called several times per second. */
  void Tick(TimePoint now);

  /** Handles one message of a peer.
      @param from  identity that the sender gave when its connection opened. */
  void OnPeerMessage(const HostId& from, const PeerMessage& message,
                     TimePoint now);

  /** Handles a value from the store: read, delivered by a watch, or returned by
      a compare-and-swap. */
  void OnStoreValue(const StoreValue& value, TimePoint now);

  /** Handles a change of the store's availability. */
  void OnStoreAvailable(bool is_available, TimePoint now);

  /** Announces that this daemon is leaving, so that look-ups no longer return
      this host. */
  void StartDrain(TimePoint now);

  /** Releases all slices once no request runs on them. To be called when no new
      requests arrive any more. */
  void StartReleasingSlices() { is_releasing_ = true; }

  //==============================================================================
  /** Returns whether all slices are released, or cannot be because the store is
      unavailable. */
  bool HasReleasedAllSlices() const;

  /** Returns whether look-ups and requests can be served. Never becomes false
      again. */
  bool IsReady() const { return is_ready_; }

  bool is_store_available() const { return is_store_available_; }
  const Membership& membership() const { return membership_; }
  const DocumentReplica& replica() const { return replica_; }
  const SliceOwnership& slices() const { return slices_; }
  const PlanReplica& plan() const { return plan_; }

 private:
  /** Tells a daemon that sent a message but is recorded as suspect or removed
      about this record, so that it can refute it. */
  void NotifySuspect(const HostId& from, TimePoint now);
  void OnHeartbeat(const HostId& from, const Heartbeat& message, TimePoint now);
  void OnMemberUpdate(const MemberUpdate& message, TimePoint now);
  void OnStateRequest(const HostId& from, const StateRequest& message);
  void OnDocumentUpdate(const HostId& from, const DocumentUpdate& message,
                        TimePoint now);
  void OnSharedValue(const SharedValue& message, TimePoint now);
  void OnPositionUpdate(const PositionUpdate& message, TimePoint now);
  void OnLoanRequest(const HostId& from, const LoanRequest& message,
                     TimePoint now);
  void OnLoanGrant(const LoanGrant& message, TimePoint now);

  /** Puts the replica's document into force when it was accepted, and logs an
      invalid one. */
  void ApplyOfferResult(DocumentOfferResult offer, TimePoint now);
  void ApplySharedValue(SharedKey key, uint64_t revision,
                        const std::string& text, TimePoint now);

  /** Queues a changed member record for the neighbours and logs the change. */
  void OnMemberChange(const MemberRecord& record);

  Heartbeat MakeHeartbeat(bool wants_reply) const;
  StateRequest MakeStateRequest() const;
  void SendHeartbeats(TimePoint now);

  /** Sends a heartbeat to the neighbours at once, after a revision changed. */
  void AnnounceRevisions();

  /** Sends the queued member records to all neighbours except `source`, the
      peer address from which they came. */
  void FlushMemberUpdates(const std::string& source);

  /** Requests the state of the JoinAddresses() that are not living members. */
  void SendJoinRequests(TimePoint now);

  /** Suspends the slices after a pause of this process, and resumes them when
      the confirmation has timed out. */
  void DetectPause(TimePoint now);

  /** Watches the store while this daemon is not ready or is one of the first
      watchers_per_zone daemons of its availability zone. */
  void UpdateWatching();

  /** Becomes ready once there is a document and either a peer's positions are
      known, or the plan is and position_timeout has passed. */
  void UpdateReadiness(TimePoint now);

  void UpdateBudgets(TimePoint now);
  void UpdateMembers();
  void LogLostRegionChanges(TimePoint now);
  void AddLivingMember(const MemberRecord& member);
  void ApplyHosts(const ListedHosts& list, TimePoint now);

  /** Returns the seeds and the hosts that the platform lists, without this one.
      The addresses are sorted. */
  std::vector<std::string> JoinAddresses() const;

  void MaintainSlices(TimePoint now);
  void MaintainPlan(TimePoint now);

  /** Returns whether `key` may be written now, and if so, sets the time of the
      next possible write. */
  bool TryReserveWrite(SharedKey key, TimePoint now);

  /** Returns whether the remaining own permits cover all requests in progress
      and all loans, in every region. */
  bool CanReleaseSlices() const;

  /** Returns the time after which every loan and every request that an earlier
      owner of a slice may have started has ended. */
  Duration QuarantineTime() const;

  Options options_;
  ControllerHooks hooks_;
  Steering* steering_;
  Random random_;
  Membership membership_;
  DocumentReplica replica_;
  PlanReplica plan_;
  SliceOwnership slices_;
  LoanBroker loans_;
  std::vector<MemberRecord> pending_updates_;  // changed, not sent yet
  std::map<SharedKey, TimePoint> next_write_at_;
  /** Last accepted value of each shared key, for peers that ask. */
  std::map<SharedKey, SharedValue> shared_values_;
  /** Shared keys whose value, or absence, was read from the store. */
  std::set<SharedKey> known_keys_;
  std::map<std::string, TimePoint> next_sync_at_;  // by peer address
  TimePoint started_at_{};
  TimePoint last_tick_{};
  TimePoint next_heartbeat_at_{};
  TimePoint next_join_at_{};
  std::optional<TimePoint> confirmation_deadline_;
  std::optional<TimePoint> plan_due_since_;
  bool is_store_available_ = false;
  bool has_peer_positions_ = false;
  bool is_watching_ = false;
  bool is_releasing_ = false;
  bool is_ready_ = false;
  uint64_t applied_members_digest_ = 0;
  // The next three are derived from the members whenever their digest changes.
  std::set<std::string> living_addresses_;  // alive or leaving
  std::vector<std::string> living_peers_;   // the same without this daemon
  int zone_rank_ = 0;  // by address, among the living daemons of the own zone
  TimePoint next_slice_check_at_{};
  TimePoint next_region_check_at_{};
  std::set<LostRegion> lost_regions_;
  std::set<std::string> listed_hosts_;          // by the platform
  std::set<std::string> listed_leaving_hosts_;  // the leaving ones of these
};

}  // namespace greengage

#endif  // GG_STEERING_CONTROLLER_H_
