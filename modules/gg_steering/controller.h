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
#include "gg_steering/loan_broker.h"
#include "gg_steering/membership.h"
#include "gg_steering/peer_message.h"
#include "gg_steering/plan_replica.h"
#include "gg_steering/slice_ownership.h"
#include "gg_steering/steering.h"

namespace greengage {

/** Control logic of one daemon: membership, the document, the plan, slices and
    loans. Events and time go in by the On...() methods and Tick(), actions come
    out by the hooks; the results are put into force in a Steering.

    Runs on the control thread only, or in virtual time in a test. */
class Controller {
 public:
  struct Options {
    MemberRecord self;
    std::vector<std::string> seeds;  // peer addresses to join by
    uint64_t seed = 1;
    Duration heartbeat_interval = std::chrono::seconds(1);
    /** Pause between attempts to write one key, plus as much again at random.
     */
    Duration min_write_interval = std::chrono::milliseconds(500);
    /** Time within which peers may tell their positions to a new daemon. */
    Duration position_timeout = std::chrono::seconds(1);
    /** Gap between ticks after which this process counts as paused. */
    Duration pause_threshold = std::chrono::seconds(2);
    /** Time after which a paused daemon goes on without confirmation. */
    Duration confirmation_timeout = std::chrono::seconds(5);
    /** Daemons of one availability zone that watch the store. */
    int watchers_per_zone = 2;
    Membership::Options membership;  // self and on_change are set here
    Duration host_gone_after = std::chrono::minutes(2);
  };

  /** @param steering  put into force here; not owned, outlives this object. */
  Controller(Options options, ControllerHooks hooks, Steering* steering,
             TimePoint now);

  //==============================================================================
  /** Runs everything that is due. To be called several times a second. */
  void Tick(TimePoint now);

  /** Takes in one message.
      @param from  the sender, as its connection introduced it. */
  void OnPeerMessage(const HostId& from, const PeerMessage& message,
                     TimePoint now);

  /** Takes in a value read from the store, by a watch or a write's answer. */
  void OnStoreValue(const StoreValue& value, TimePoint now);

  /** The store answers, or it has stopped to. */
  void OnStoreAvailable(bool is_available, TimePoint now);

  /** Announces the departure: no look-up names this host any more. */
  void StartDrain(TimePoint now);

  /** Gives up all slices as they fall idle; call when no new work comes. */
  void StartReleasingSlices() { is_releasing_ = true; }

  //==============================================================================
  /** True when no slice is left to give up, or the store cannot be told. */
  bool HasReleasedAllSlices() const;

  /** True once look-ups and requests can be served. */
  bool IsReady() const { return is_ready_; }

  bool is_store_available() const { return is_store_available_; }
  const Membership& membership() const { return membership_; }
  const DocumentReplica& replica() const { return replica_; }
  const SliceOwnership& slices() const { return slices_; }
  const PlanReplica& plan() const { return plan_; }

 private:
  /** Tells a daemon that speaks that it is suspected, so that it can refute. */
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

  void ApplyOfferResult(DocumentOfferResult offer, TimePoint now);
  void ApplySharedValue(SharedKey key, uint64_t revision,
                        const std::string& text, TimePoint now);
  void OnMemberChange(const MemberRecord& record);

  Heartbeat MakeHeartbeat(bool wants_reply) const;
  StateRequest MakeStateRequest() const;
  void SendHeartbeats(TimePoint now);
  void AnnounceRevisions();
  void FlushMemberUpdates(const std::string& source);
  void SendJoinRequests(TimePoint now);
  void DetectPause(TimePoint now);
  void UpdateWatching();
  void UpdateReadiness(TimePoint now);
  void UpdateBudgets(TimePoint now);
  void UpdateMembers();
  void LogLostRegionChanges(TimePoint now);
  void AddLivingMember(const MemberRecord& member);
  void ApplyHosts(const std::string& text, TimePoint now);
  std::vector<std::string> JoinAddresses() const;
  void MaintainSlices(TimePoint now);
  void MaintainPlan(TimePoint now);
  bool TryReserveWrite(SharedKey key, TimePoint now);
  bool CanReleaseSlices() const;
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
  std::vector<MemberRecord> pending_updates_;
  std::map<SharedKey, TimePoint> next_write_at_;
  /** Last accepted value of each shared key, for peers that ask. */
  std::map<SharedKey, SharedValue> shared_values_;
  /** Shared keys whose value, or absence, was read from the store. */
  std::set<SharedKey> known_keys_;
  std::map<std::string, TimePoint> next_sync_at_;
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
  // Derived from the members whenever their digest changes.
  std::set<std::string> living_addresses_;
  std::vector<std::string> living_peers_;
  int zone_rank_ = 0;  // among the living daemons of the own availability zone
  TimePoint next_slice_check_at_{};
  TimePoint next_region_check_at_{};
  std::set<LostRegion> lost_regions_;
  std::set<std::string> listed_hosts_;
  std::set<std::string> listed_leaving_hosts_;
};

}  // namespace greengage

#endif  // GG_STEERING_CONTROLLER_H_
