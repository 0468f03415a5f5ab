#include "gg_steering/controller.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"
#include "gg_steering/steering.h"

namespace greengage {
namespace {

/** Time between attempts to contact the join addresses that do not belong to a
    living member, while this daemon is the only living member in its list. */
constexpr Duration kAloneJoinInterval = std::chrono::milliseconds(500);

/** The same interval while the list contains other living members. */
constexpr Duration kJoinInterval = std::chrono::seconds(10);

/** Time between checks whether slices are to be claimed or released. */
constexpr Duration kSliceCheckInterval = std::chrono::milliseconds(250);

/** Time between checks which regions are lost. */
constexpr Duration kRegionCheckInterval = std::chrono::seconds(1);

/** Time that a daemon leaves to each daemon before it to write the plan. */
constexpr Duration kPlanWriterDelay = std::chrono::seconds(2);

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

std::string ToStdString(absl::string_view text) {
  return {text.data(), text.size()};
}

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
              OnMemberChange(record);
            };
            return membership;
          }(),
          now),
      slices_(
          {.self = options_.self.id, .gone_after = options_.host_gone_after}),
      loans_({}, steering, options_.seed + 1),
      started_at_(now),
      last_tick_(now),
      next_heartbeat_at_(now),
      next_join_at_(now) {}

void Controller::Tick(TimePoint now) {
  DetectPause(now);
  membership_.Tick(now);
  UpdateMembers();
  SendJoinRequests(now);
  FlushMemberUpdates("");
  if (now >= next_heartbeat_at_) {
    SendHeartbeats(now);
    next_heartbeat_at_ = now + options_.heartbeat_interval;
  }
  UpdateWatching();
  UpdateReadiness(now);
  MaintainPlan(now);
  MaintainSlices(now);
  UpdateBudgets(now);
  steering_->Tick(now);
  LogLostRegionChanges(now);
  for (const OutgoingLoanRequest& out : loans_.Tick(living_peers_, now)) {
    hooks_.send(out.address, out.request);
  }
}

void Controller::OnStoreValue(const StoreValue& value, TimePoint now) {
  known_keys_.insert(value.key);
  if (value.key == SharedKey::kSlices && confirmation_deadline_) {
    confirmation_deadline_.reset();
    slices_.Resume();
  }
  if (value.revision == 0) return;
  if (value.key == SharedKey::kDocument) {
    ApplyOfferResult(replica_.OfferText(value.text, value.revision), now);
  } else {
    ApplySharedValue(value.key, value.revision, value.text, now);
  }
}

void Controller::OnStoreAvailable(bool is_available, TimePoint /*now*/) {
  if (is_available == is_store_available_) return;
  is_store_available_ = is_available;
  hooks_.log(LogLevel::kWarning,
             is_available ? Event::kStoreAvailable : Event::kStoreUnavailable,
             "");
}

void Controller::StartDrain(TimePoint now) {
  membership_.Leave(now);
  FlushMemberUpdates("");
  UpdateMembers();
}

bool Controller::HasReleasedAllSlices() const {
  return slices_.owned() == 0 || !is_store_available_;
}

void Controller::ApplyOfferResult(DocumentOfferResult offer, TimePoint now) {
  if (offer == DocumentOfferResult::kInvalid &&
      replica_.last_error().code() == absl::StatusCode::kInvalidArgument) {
    hooks_.log(LogLevel::kError, Event::kDocumentRefused,
               ToStdString(replica_.last_error().message()));
  }
  if (offer != DocumentOfferResult::kAccepted) return;
  hooks_.log(LogLevel::kInfo, Event::kDocumentAccepted,
             absl::StrCat("revision=", replica_.revision()));
  steering_->ApplyDocument(replica_.document(), replica_.revision(), now);
  UpdateBudgets(now);
  UpdateReadiness(now);
  AnnounceRevisions();
}

void Controller::ApplySharedValue(SharedKey key, uint64_t revision,
                                  const std::string& text, TimePoint now) {
  if (revision <= shared_values_[key].revision) return;
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
    if (table.ok() && slices_.Apply(*table, revision, QuarantineTime(), now)) {
      UpdateBudgets(now);
      if (slices_.owned() != before) {
        hooks_.log(LogLevel::kInfo,
                   slices_.owned() > before ? Event::kSlicesClaimed
                                            : Event::kSlicesReleased,
                   absl::StrCat("owned=", slices_.owned()));
      }
    }
  } else {
    const absl::StatusOr<ListedHosts> list = ListedHostsFromJson(text);
    status = list.status();
    if (list.ok()) ApplyHosts(*list, now);
  }
  if (!status.ok()) {
    hooks_.log(LogLevel::kError, Event::kSharedValueRefused,
               ToStdString(status.message()));
    return;
  }
  shared_values_[key] = {key, revision, text};
  AnnounceRevisions();
}

void Controller::ApplyHosts(const ListedHosts& list, TimePoint now) {
  listed_hosts_ = list.hosts;
  listed_leaving_hosts_ = list.leaving_hosts;
  slices_.ApplyHosts({listed_hosts_}, now);
  applied_members_digest_ = 0;
}

void Controller::OnMemberChange(const MemberRecord& record) {
  pending_updates_.push_back(record);
  if (record.id == options_.self.id) return;
  hooks_.log(LogLevel::kInfo, EventOf(record.state, record.version > 0),
             absl::StrCat("peer=", record.id.address, " incarnation=",
                          record.id.incarnation, " version=", record.version));
}

Heartbeat Controller::MakeHeartbeat(bool wants_reply) const {
  const auto hosts = shared_values_.find(SharedKey::kHosts);
  return {.members_digest = membership_.Digest(),
          .document_revision = replica_.revision(),
          .plan_revision = plan_.revision(),
          .slices_revision = slices_.revision(),
          .hosts_revision =
              hosts == shared_values_.end() ? 0 : hosts->second.revision,
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

void Controller::SendJoinRequests(TimePoint now) {
  if (now < next_join_at_) return;
  const bool is_alone = living_addresses_.size() <= 1;
  next_join_at_ = now + (is_alone ? kAloneJoinInterval : kJoinInterval);
  for (const std::string& address : JoinAddresses()) {
    if (living_addresses_.count(address) != 0) continue;
    StateRequest request = MakeStateRequest();
    request.wants_members = true;
    hooks_.send(address, MemberUpdate{{membership_.self()}});
    hooks_.send(address, request);
  }
}

void Controller::DetectPause(TimePoint now) {
  const bool was_paused = now - last_tick_ > options_.pause_threshold;
  last_tick_ = now;
  if (was_paused) {
    slices_.Suspend();
    confirmation_deadline_ = now + options_.confirmation_timeout;
    for (const std::string& address : membership_.Neighbours()) {
      hooks_.send(address, MakeStateRequest());
    }
  }
  if (confirmation_deadline_ && now >= *confirmation_deadline_) {
    confirmation_deadline_.reset();
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
  const bool has_waited = now - started_at_ >= options_.position_timeout;
  const bool knows_plan = known_keys_.count(SharedKey::kPlan) != 0;
  if (!has_peer_positions_ && !(knows_plan && has_waited)) return;
  is_ready_ = true;
  steering_->ApplyPlan(plan_.plan(), now);
}

void Controller::UpdateBudgets(TimePoint now) {
  if (replica_.document() == nullptr) return;
  for (const RegionSpec& region : replica_.document()->regions) {
    steering_->SetOwnPermits(
        region.name, slices_.UsablePermits(region.name, region.capacity, now));
  }
  steering_->SetLinkShare(slices_.UsableFraction(now));
}

void Controller::UpdateMembers() {
  if (membership_.Digest() == applied_members_digest_) return;
  applied_members_digest_ = membership_.Digest();
  living_addresses_.clear();
  living_peers_.clear();
  zone_rank_ = 0;
  std::vector<MemberRecord> members = membership_.Members();
  for (MemberRecord& member : members) {
    if (member.state < MemberState::kSuspect) AddLivingMember(member);
    const bool is_listed_leaving =
        listed_leaving_hosts_.count(member.id.address) != 0;
    if (is_listed_leaving && member.state == MemberState::kAlive) {
      member.state = MemberState::kLeaving;
    }
  }
  steering_->SetMembers(std::move(members));
}

void Controller::LogLostRegionChanges(TimePoint now) {
  if (now < next_region_check_at_) return;
  next_region_check_at_ = now + kRegionCheckInterval;
  std::set<LostRegion> lost = steering_->LostRegions(now);
  const auto log_added = [&](const std::set<LostRegion>& from,
                             const std::set<LostRegion>& to, Event event) {
    for (const LostRegion& entry : to) {
      if (from.count(entry) != 0) continue;
      hooks_.log(
          LogLevel::kWarning, event,
          absl::StrCat("service=", entry.service, " region=", entry.region));
    }
  };
  log_added(lost_regions_, lost, Event::kRegionLost);
  log_added(lost, lost_regions_, Event::kRegionRecovered);
  lost_regions_ = std::move(lost);
}

void Controller::AddLivingMember(const MemberRecord& member) {
  const std::string& address = member.id.address;
  living_addresses_.insert(address);
  if (address == options_.self.id.address) return;
  living_peers_.push_back(address);
  const bool is_before_in_zone =
      member.zone == options_.self.zone && address < options_.self.id.address;
  if (is_before_in_zone) ++zone_rank_;
}

void Controller::MaintainSlices(TimePoint now) {
  if (!is_store_available_ || replica_.document() == nullptr) return;
  if (now < next_slice_check_at_) return;
  next_slice_check_at_ = now + kSliceCheckInterval;
  slices_.MarkSlicesForRelease(living_addresses_, is_releasing_);
  UpdateBudgets(now);
  if (const std::optional<SliceTable> released = slices_.TableAfterRelease()) {
    if (!CanReleaseSlices() || !TryReserveWrite(SharedKey::kSlices, now)) {
      return;
    }
    hooks_.write_store(
        {SharedKey::kSlices, slices_.revision(), SliceTableToJson(*released)});
    return;
  }
  const bool is_leaving = membership_.self().state == MemberState::kLeaving;
  if (is_leaving || known_keys_.count(SharedKey::kSlices) == 0) return;
  const std::optional<SliceTable> claimed =
      slices_.PlanClaim(replica_.document()->slices, living_addresses_, now);
  if (claimed && TryReserveWrite(SharedKey::kSlices, now)) {
    hooks_.write_store(
        {SharedKey::kSlices, slices_.revision(), SliceTableToJson(*claimed)});
  }
}

void Controller::MaintainPlan(TimePoint now) {
  if (!is_store_available_ || !is_ready_) return;
  if (known_keys_.count(SharedKey::kPlan) == 0) return;
  const std::optional<RampPlan> next =
      plan_.NextPlanToWrite(*replica_.document(), now);
  if (!next) {
    plan_due_since_.reset();
    return;
  }
  if (!plan_due_since_) plan_due_since_ = now;
  // The living daemon with the first address writes the plan. Each daemon after
  // it waits one kPlanWriterDelay longer, in case those before it cannot reach
  // the store.
  const auto rank =
      std::distance(living_addresses_.begin(),
                    living_addresses_.lower_bound(options_.self.id.address));
  if (now - *plan_due_since_ < rank * kPlanWriterDelay) return;
  if (TryReserveWrite(SharedKey::kPlan, now)) {
    hooks_.write_store(
        {SharedKey::kPlan, plan_.revision(), RampPlanToJson(*next)});
  }
}

bool Controller::TryReserveWrite(SharedKey key, TimePoint now) {
  TimePoint& next_write = next_write_at_[key];
  if (now < next_write) return false;
  const double jitter = 1 + random_.NextDouble();
  next_write =
      now + FromSeconds(ToSeconds(options_.min_write_interval) * jitter);
  return true;
}

bool Controller::CanReleaseSlices() const {
  for (const RegionSpec& region : replica_.document()->regions) {
    const RegionUsage usage = steering_->Usage(region.name);
    if (usage.in_use + usage.lent > usage.own) return false;
  }
  return true;
}

Duration Controller::QuarantineTime() const {
  const BudgetTable::Options& budget = steering_->options().budget;
  const Duration loans = budget.loan_term + budget.loan_margin;
  if (replica_.document() == nullptr) return loans;
  return std::max(loans, LongestTimeLimit(*replica_.document()));
}

std::vector<std::string> Controller::JoinAddresses() const {
  std::set<std::string> addresses = listed_hosts_;
  addresses.insert(options_.seeds.begin(), options_.seeds.end());
  addresses.erase(options_.self.id.address);
  return {addresses.begin(), addresses.end()};
}

}  // namespace greengage
