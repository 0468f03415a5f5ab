#include "gg_steering/controller.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"
#include "gg_steering/steering.h"

namespace greengage {
namespace {

/** Pauses between attempts to reach contacts that are no members. */
constexpr Duration kFirstJoinPause = std::chrono::milliseconds(500);
/** Pause between looks at whether slices are to be claimed or given up. */
constexpr Duration kSliceCheckPause = std::chrono::milliseconds(250);

/** Pause between looks at which regions are lost. */
constexpr Duration kRegionCheckPause = std::chrono::seconds(1);

/** Time that each daemon leaves to those before it to write the plan. */
constexpr Duration kWriterPatience = std::chrono::seconds(2);

constexpr Duration kJoinPause = std::chrono::seconds(10);

Event EventOf(MemberState state, bool is_refutation) {
  switch (state) {
    case MemberState::kAlive:
      return is_refutation ? Event::kMemberRecovered : Event::kMemberJoined;
    case MemberState::kLeaving:
      return Event::kMemberLeaving;
    case MemberState::kSuspect:
      return Event::kMemberSuspected;
    case MemberState::kRemoved:
      return Event::kMemberRemoved;
  }
  return Event::kMemberRemoved;
}

std::string Text(absl::string_view text) { return {text.data(), text.size()}; }

}  // namespace

Controller::Controller(Options options, ControllerHooks hooks,
                       Steering* steering, TimePoint now)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      steering_(steering),
      random_(options_.seed),
      membership_(
          [this] {
            Membership::Options membership = options_.membership;
            membership.self = options_.self;
            membership.on_change = [this](const MemberRecord& record) {
              NoteChange(record);
            };
            return membership;
          }(),
          now),
      slices_(
          {.self = options_.self.id, .gone_after = options_.host_gone_after}),
      loans_({}, steering, options_.seed + 1),
      started_at_(now),
      last_tick_(now),
      next_heartbeat_(now),
      next_join_(now) {}

void Controller::Tick(TimePoint now) {
  CheckPause(now);
  membership_.Tick(now);
  UpdateMembers();
  JoinSeeds(now);
  FlushMemberUpdates("");
  if (now >= next_heartbeat_) {
    SendHeartbeats(now);
    next_heartbeat_ = now + options_.heartbeat_interval;
  }
  UpdateWatching();
  UpdateReadiness(now);
  MaintainPlan(now);
  MaintainSlices(now);
  UpdateBudgets(now);
  steering_->Tick(now);
  NoteLostRegions(now);
  for (const OutgoingLoanRequest& out : loans_.Tick(living_peers_, now)) {
    hooks_.send(out.address, out.request);
  }
}

void Controller::OnStoreValue(const StoreValue& value, TimePoint now) {
  known_.insert(value.key);
  if (value.key == SharedKey::kSlices && confirm_by_) {
    confirm_by_.reset();
    slices_.Resume();
  }
  if (value.revision == 0) return;
  if (value.key == SharedKey::kDocument) {
    ApplyOffer(replica_.OfferText(value.text, value.revision), now);
  } else {
    ApplyShared(value.key, value.revision, value.text, now);
  }
}

void Controller::OnStoreAvailable(bool available, TimePoint /*now*/) {
  if (available == store_available_) return;
  store_available_ = available;
  hooks_.log(LogLevel::kWarning,
             available ? Event::kStoreAvailable : Event::kStoreUnavailable, "");
}

void Controller::StartDrain(TimePoint now) {
  membership_.Leave(now);
  FlushMemberUpdates("");
  UpdateMembers();
}

bool Controller::HasReleasedAll() const {
  return slices_.owned() == 0 || !store_available_;
}

void Controller::ApplyOffer(DocumentOffer offer, TimePoint now) {
  if (offer == DocumentOffer::kInvalid &&
      replica_.last_error().code() == absl::StatusCode::kInvalidArgument) {
    hooks_.log(LogLevel::kError, Event::kDocumentRefused,
               Text(replica_.last_error().message()));
  }
  if (offer != DocumentOffer::kAccepted) return;
  hooks_.log(LogLevel::kInfo, Event::kDocumentAccepted,
             absl::StrCat("revision=", replica_.revision()));
  steering_->ApplyDocument(replica_.document(), replica_.revision(), now);
  UpdateBudgets(now);
  UpdateReadiness(now);
  AnnounceRevisions();
}

void Controller::ApplyShared(SharedKey key, uint64_t revision,
                             const std::string& text, TimePoint now) {
  if (revision <= shared_[key].revision) return;
  absl::Status status;
  if (key == SharedKey::kPlan) {
    const absl::StatusOr<RampPlan> plan = RampPlanFromJson(text);
    status = plan.status();
    if (plan.ok() && plan_.Apply(*plan, revision, now) && is_ready_) {
      steering_->ApplyPlan(plan_.plan(), now);
      hooks_.log(LogLevel::kDebug, Event::kShiftStep,
                 absl::StrCat("revision=", revision));
    }
  } else if (key == SharedKey::kSlices) {
    const absl::StatusOr<SliceTable> table = SliceTableFromJson(text);
    status = table.status();
    const int64_t before = slices_.owned();
    if (table.ok() && slices_.Apply(*table, revision, Quarantine(), now)) {
      UpdateBudgets(now);
      if (slices_.owned() != before) {
        hooks_.log(LogLevel::kInfo,
                   slices_.owned() > before ? Event::kSlicesClaimed
                                            : Event::kSlicesReleased,
                   absl::StrCat("owned=", slices_.owned()));
      }
    }
  } else {
    ApplyHosts(text, now);
  }
  if (!status.ok()) {
    hooks_.log(LogLevel::kError, Event::kSharedValueRefused,
               Text(status.message()));
    return;
  }
  shared_[key] = {key, revision, text};
  AnnounceRevisions();
}

void Controller::ApplyHosts(const std::string& text, TimePoint now) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("hosts")) return;
  listed_hosts_.clear();
  listed_leaving_.clear();
  for (const auto& host : json["hosts"]) {
    if (!host.is_object()) continue;
    const std::string address = host.value("address", "");
    listed_hosts_.insert(address);
    if (host.value("state", "live") == "leaving") {
      listed_leaving_.insert(address);
    }
  }
  slices_.ApplyHosts({listed_hosts_}, now);
  applied_digest_ = 0;
}

void Controller::NoteChange(const MemberRecord& record) {
  pending_updates_.push_back(record);
  if (record.id == options_.self.id) return;
  hooks_.log(LogLevel::kInfo, EventOf(record.state, record.version > 0),
             absl::StrCat("peer=", record.id.address, " incarnation=",
                          record.id.incarnation, " version=", record.version));
}

Heartbeat Controller::MakeHeartbeat(bool wants_reply) const {
  const auto hosts = shared_.find(SharedKey::kHosts);
  return {.members_digest = membership_.Digest(),
          .document_revision = replica_.revision(),
          .plan_revision = plan_.revision(),
          .slices_revision = slices_.revision(),
          .hosts_revision = hosts == shared_.end() ? 0 : hosts->second.revision,
          .wants_reply = wants_reply};
}

StateRequest Controller::MakeStateRequest() const {
  const Heartbeat have = MakeHeartbeat(false);
  return {.wants_members = false,
          .wants_positions = !is_ready_,
          .document_revision = have.document_revision,
          .plan_revision = have.plan_revision,
          .slices_revision = have.slices_revision,
          .hosts_revision = have.hosts_revision};
}

void Controller::SendHeartbeats(TimePoint /*now*/) {
  for (const std::string& address : membership_.Neighbours()) {
    hooks_.send(address, MakeHeartbeat(false));
  }
}

void Controller::AnnounceRevisions() {
  for (const std::string& address : membership_.Neighbours()) {
    hooks_.send(address, MakeHeartbeat(false));
  }
}

void Controller::FlushMemberUpdates(const std::string& source) {
  if (pending_updates_.empty()) return;
  MemberUpdate update{std::move(pending_updates_)};
  pending_updates_.clear();
  for (const std::string& address : membership_.Neighbours()) {
    if (address != source) hooks_.send(address, update);
  }
}

void Controller::JoinSeeds(TimePoint now) {
  if (now < next_join_) return;
  const bool is_alone = living_.size() <= 1;
  next_join_ = now + (is_alone ? kFirstJoinPause : kJoinPause);
  for (const std::string& address : Contacts()) {
    if (living_.count(address) != 0) continue;
    StateRequest request = MakeStateRequest();
    request.wants_members = true;
    hooks_.send(address, MemberUpdate{{membership_.self()}});
    hooks_.send(address, request);
  }
}

void Controller::CheckPause(TimePoint now) {
  const bool was_paused = now - last_tick_ > options_.pause_limit;
  last_tick_ = now;
  if (was_paused) {
    slices_.Suspend();
    confirm_by_ = now + options_.confirm_limit;
    for (const std::string& address : membership_.Neighbours()) {
      hooks_.send(address, MakeStateRequest());
    }
  }
  if (confirm_by_ && now >= *confirm_by_) {
    confirm_by_.reset();
    slices_.Resume();
  }
}

void Controller::UpdateWatching() {
  const bool should_watch =
      zone_rank_ < options_.watchers_per_zone || !is_ready_;
  if (should_watch == is_watching_) return;
  is_watching_ = should_watch;
  hooks_.set_watching(should_watch);
}

void Controller::UpdateReadiness(TimePoint now) {
  if (is_ready_ || replica_.document() == nullptr) return;
  const bool has_waited = now - started_at_ >= options_.position_wait;
  const bool knows_plan = known_.count(SharedKey::kPlan) != 0;
  if (!heard_peer_state_ && !(knows_plan && has_waited)) return;
  is_ready_ = true;
  steering_->ApplyPlan(plan_.plan(), now);
}

void Controller::UpdateBudgets(TimePoint now) {
  if (replica_.document() == nullptr) return;
  for (const RegionSpec& region : replica_.document()->regions) {
    steering_->SetOwnPermits(
        region.name, slices_.UsablePermits(region.name, region.capacity, now));
  }
  steering_->SetLinkShare(slices_.UsableShare(now));
}

void Controller::UpdateMembers() {
  if (membership_.Digest() == applied_digest_) return;
  applied_digest_ = membership_.Digest();
  living_.clear();
  living_peers_.clear();
  zone_rank_ = 0;
  std::vector<MemberRecord> members = membership_.Members();
  for (MemberRecord& member : members) {
    if (member.state < MemberState::kSuspect) NoteLiving(member);
    const bool is_listed_leaving =
        listed_leaving_.count(member.id.address) != 0;
    if (is_listed_leaving && member.state == MemberState::kAlive) {
      member.state = MemberState::kLeaving;
    }
  }
  steering_->SetMembers(std::move(members));
}

void Controller::NoteLostRegions(TimePoint now) {
  if (now < next_region_check_) return;
  next_region_check_ = now + kRegionCheckPause;
  std::set<LostRegion> lost = steering_->LostRegions(now);
  const auto log_new = [&](const std::set<LostRegion>& from,
                           const std::set<LostRegion>& to, Event event) {
    for (const LostRegion& entry : to) {
      if (from.count(entry) != 0) continue;
      hooks_.log(
          LogLevel::kWarning, event,
          absl::StrCat("service=", entry.service, " region=", entry.region));
    }
  };
  log_new(lost_regions_, lost, Event::kRegionLost);
  log_new(lost, lost_regions_, Event::kRegionRecovered);
  lost_regions_ = std::move(lost);
}

void Controller::NoteLiving(const MemberRecord& member) {
  const std::string& address = member.id.address;
  living_.insert(address);
  if (address == options_.self.id.address) return;
  living_peers_.push_back(address);
  const bool is_before_in_zone =
      member.zone == options_.self.zone && address < options_.self.id.address;
  if (is_before_in_zone) ++zone_rank_;
}

void Controller::MaintainSlices(TimePoint now) {
  if (!store_available_ || replica_.document() == nullptr) return;
  if (now < next_slice_check_) return;
  next_slice_check_ = now + kSliceCheckPause;
  slices_.PlanRelease(living_, is_releasing_);
  UpdateBudgets(now);
  if (const std::optional<SliceTable> released = slices_.ReleasedTable()) {
    if (!IsIdleEnoughToRelease() || !MayWrite(SharedKey::kSlices, now)) return;
    hooks_.write_store(
        {SharedKey::kSlices, slices_.revision(), SliceTableToJson(*released)});
    return;
  }
  const bool is_leaving = membership_.self().state == MemberState::kLeaving;
  if (is_leaving || known_.count(SharedKey::kSlices) == 0) return;
  const std::optional<SliceTable> claimed =
      slices_.PlanClaim(replica_.document()->slices, living_, now);
  if (claimed && MayWrite(SharedKey::kSlices, now)) {
    hooks_.write_store(
        {SharedKey::kSlices, slices_.revision(), SliceTableToJson(*claimed)});
  }
}

void Controller::MaintainPlan(TimePoint now) {
  if (!store_available_ || !is_ready_) return;
  if (known_.count(SharedKey::kPlan) == 0) return;
  const std::optional<RampPlan> next =
      plan_.PlanNext(*replica_.document(), now);
  if (!next) {
    plan_due_since_.reset();
    return;
  }
  if (!plan_due_since_) plan_due_since_ = now;
  // The first living address writes; each next one waits a little longer, in
  // case those before it cannot reach the store.
  const auto rank = std::distance(
      living_.begin(), living_.lower_bound(options_.self.id.address));
  if (now - *plan_due_since_ < rank * kWriterPatience) return;
  if (MayWrite(SharedKey::kPlan, now)) {
    hooks_.write_store(
        {SharedKey::kPlan, plan_.revision(), RampPlanToJson(*next)});
  }
}

bool Controller::MayWrite(SharedKey key, TimePoint now) {
  TimePoint& next_write = next_write_[key];
  if (now < next_write) return false;
  const double jitter = 1 + random_.NextDouble();
  next_write = now + FromSeconds(ToSeconds(options_.write_pause) * jitter);
  return true;
}

bool Controller::IsIdleEnoughToRelease() const {
  for (const RegionSpec& region : replica_.document()->regions) {
    const RegionUsage usage = steering_->Usage(region.name);
    if (usage.in_use + usage.lent > usage.own) return false;
  }
  return true;
}

Duration Controller::Quarantine() const {
  const BudgetTable::Options& budget = steering_->options().budget;
  const Duration loans = budget.loan_term + budget.loan_margin;
  if (replica_.document() == nullptr) return loans;
  return std::max(loans, LongestTimeLimit(*replica_.document()));
}

std::vector<std::string> Controller::Contacts() const {
  std::set<std::string> contacts = listed_hosts_;
  contacts.insert(options_.seeds.begin(), options_.seeds.end());
  contacts.erase(options_.self.id.address);
  return {contacts.begin(), contacts.end()};
}

}  // namespace greengage
