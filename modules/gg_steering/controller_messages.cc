#include "absl/strings/str_cat.h"
#include "gg_steering/controller.h"
#include "gg_steering/steering.h"

// The methods of Controller that handle messages from peers.

namespace greengage {
namespace {

/** Least time between two requests for newer values to one peer. */
constexpr Duration kSyncInterval = std::chrono::milliseconds(300);

/** Least time between a request for member records and the next request to the
    same peer. */
constexpr Duration kMemberSyncInterval = std::chrono::seconds(3);

}  // namespace

void Controller::OnPeerMessage(const HostId& from, const PeerMessage& message,
                               TimePoint now) {
  membership_.RecordContact(from, now);
  NotifySuspect(from, now);
  struct Visitor {
    Controller* controller;
    const HostId& from;
    TimePoint now;
    void operator()(const Heartbeat& m) {
      controller->OnHeartbeat(from, m, now);
    }
    void operator()(const MemberUpdate& m) {
      controller->OnMemberUpdate(m, now);
    }
    void operator()(const StateRequest& m) {
      controller->OnStateRequest(from, m);
    }
    void operator()(const DocumentUpdate& m) {
      controller->OnDocumentUpdate(from, m, now);
    }
    void operator()(const SharedValue& m) { controller->OnSharedValue(m, now); }
    void operator()(const PositionUpdate& m) {
      controller->OnPositionUpdate(m, now);
    }
    void operator()(const LoanRequest& m) {
      controller->OnLoanRequest(from, m, now);
    }
    void operator()(const LoanGrant& m) { controller->OnLoanGrant(m, now); }
  };
  std::visit(Visitor{this, from, now}, message);
  FlushMemberUpdates(from.address);
}

void Controller::NotifySuspect(const HostId& from, TimePoint now) {
  const MemberRecord* record = membership_.Find(from.address);
  const bool is_suspect = record != nullptr && record->id == from &&
                          record->state >= MemberState::kSuspect;
  TimePoint& next_sync = next_sync_at_[from.address];
  if (!is_suspect || now < next_sync) return;
  next_sync = now + kSyncInterval;
  hooks_.send(from.address, MemberUpdate{{*record}});
}

void Controller::OnHeartbeat(const HostId& from, const Heartbeat& message,
                             TimePoint now) {
  if (message.wants_reply) {
    hooks_.send(from.address, MakeHeartbeat(false));
  }
  const bool has_newer_values =
      message.document_revision > replica_.revision() ||
      message.plan_revision > plan_.revision() ||
      message.slices_revision > slices_.revision() ||
      message.hosts_revision > shared_values_[SharedKey::kHosts].revision;
  const bool members_differ = message.members_digest != membership_.Digest();
  TimePoint& next_sync = next_sync_at_[from.address];
  if (has_newer_values && now >= next_sync) {
    next_sync = now + kSyncInterval;
    hooks_.send(from.address, MakeStateRequest());
  } else if (members_differ && now >= next_sync) {
    next_sync = now + kMemberSyncInterval;
    StateRequest request = MakeStateRequest();
    request.wants_members = true;
    hooks_.send(from.address, request);
  }
}

void Controller::OnMemberUpdate(const MemberUpdate& message, TimePoint now) {
  for (const MemberRecord& record : message.records) {
    membership_.Merge(record, now);
  }
  UpdateMembers();
}

void Controller::OnStateRequest(const HostId& from,
                                const StateRequest& message) {
  if (message.wants_members) {
    hooks_.send(from.address, MemberUpdate{membership_.AllRecords()});
  }
  if (replica_.revision() > message.document_revision) {
    hooks_.send(from.address, replica_.UpdateSince(message.document_revision));
  }
  const auto send_newer = [&](SharedKey key, uint64_t have_revision) {
    const auto value = shared_values_.find(key);
    if (value != shared_values_.end() &&
        value->second.revision > have_revision) {
      hooks_.send(from.address, value->second);
    }
  };
  send_newer(SharedKey::kPlan, message.plan_revision);
  send_newer(SharedKey::kSlices, message.slices_revision);
  send_newer(SharedKey::kHosts, message.hosts_revision);
  PositionUpdate positions;
  if (message.wants_positions) positions.positions = steering_->Positions();
  hooks_.send(from.address, positions);
}

void Controller::OnDocumentUpdate(const HostId& from,
                                  const DocumentUpdate& message,
                                  TimePoint now) {
  const DocumentOfferResult offer = replica_.OfferUpdate(message);
  if (offer == DocumentOfferResult::kIncomplete) {
    StateRequest request = MakeStateRequest();
    request.document_revision = 0;
    hooks_.send(from.address, request);
    return;
  }
  ApplyOfferResult(offer, now);
}

void Controller::OnSharedValue(const SharedValue& message, TimePoint now) {
  if (message.key == SharedKey::kDocument) return;
  ApplySharedValue(message.key, message.revision, message.text, now);
}

void Controller::OnPositionUpdate(const PositionUpdate& message,
                                  TimePoint now) {
  // The message ends a peer's answer to the StateRequest of DetectPause(),
  // which contained the slice table if the peer had a newer one.
  if (confirmation_deadline_) {
    confirmation_deadline_.reset();
    slices_.Resume();
  }
  if (is_ready_ || message.positions.empty()) return;
  steering_->InitializePositions(message.positions, now);
  has_peer_positions_ = true;
  UpdateReadiness(now);
}

void Controller::OnLoanRequest(const HostId& from, const LoanRequest& message,
                               TimePoint now) {
  const std::optional<LoanGrant> grant = loans_.OnRequest(message, now);
  if (!grant) return;
  hooks_.log(LogLevel::kDebug, Event::kLoanGranted,
             absl::StrCat("peer=", from.address, " region=", grant->region,
                          " permits=", grant->permits));
  hooks_.send(from.address, *grant);
}

void Controller::OnLoanGrant(const LoanGrant& message, TimePoint now) {
  if (!loans_.OnGrant(message, now)) return;
  hooks_.log(
      LogLevel::kDebug, Event::kLoanReceived,
      absl::StrCat("region=", message.region, " permits=", message.permits));
}

}  // namespace greengage
