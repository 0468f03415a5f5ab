#include "gg_steering/steering.h"

#include <algorithm>
#include <utility>

#include "gg_steering/lookup_policy.h"

namespace greengage {
namespace {

Admission Refuse(Refusal refusal) {
  Admission admission;
  admission.refusal = refusal;
  return admission;
}

/** Returns whether no route of the service has a greater weight. Only requests
    on such routes may use the reserve of a region's budget. */
bool HasHighestWeight(const ServiceSpec& service, const RouteSpec& route) {
  return std::all_of(
      service.routes.begin(), service.routes.end(),
      [&](const RouteSpec& other) { return other.weight <= route.weight; });
}

}  // namespace

Steering::Steering(Options options)
    : options_(std::move(options)),
      budget_(options_.budget),
      targets_(options_.targets),
      ledger_(options_.ledger),
      random_(options_.seed),
      last_tick_(options_.started_at) {}

void Steering::ApplyDocument(DocumentPtr document, uint64_t revision,
                             TimePoint now) {
  const std::lock_guard lock(mutex_);
  document_ = std::move(document);
  document_revision_ = revision;
  targets_.Apply(*document_, now);
  AddMissingPositions(now);
  UpdateLinkRates();
}

void Steering::InitializePositions(const std::vector<Position>& positions,
                                   TimePoint now) {
  const std::lock_guard lock(mutex_);
  for (const Position& position : positions) {
    shift_limiters_.try_emplace({position.service, position.home},
                                ShiftLimiter(position.split, now));
  }
}

void Steering::ApplyPlan(const RampPlan& plan, TimePoint now) {
  const std::lock_guard lock(mutex_);
  plan_ = plan;
  AddMissingPositions(now);
}

void Steering::SetOwnPermits(const std::string& region, int64_t permits) {
  const std::lock_guard lock(mutex_);
  budget_.SetOwn(region, permits);
}

void Steering::SetLinkShare(double share) {
  const std::lock_guard lock(mutex_);
  link_share_ = share;
  UpdateLinkRates();
}

void Steering::SetMembers(std::vector<MemberRecord> members) {
  const std::lock_guard lock(mutex_);
  members_ = std::move(members);
}

void Steering::Tick(TimePoint now) {
  const std::lock_guard lock(mutex_);
  last_tick_ = now;
  budget_.Expire(now);
  ledger_.Expire(now);
  if (document_ == nullptr) return;
  for (const ServiceSpec& service : document_->services) {
    for (const auto& [home, split] : service.split) {
      const auto limiter = shift_limiters_.find({service.name, home});
      if (limiter == shift_limiters_.end()) continue;
      limiter->second.Advance(DesiredSplit(service, home, now), service.shift,
                              now);
    }
  }
}

std::optional<LoanOffer> Steering::Lend(const std::string& region,
                                        int64_t wanted, TimePoint now) {
  const std::lock_guard lock(mutex_);
  return budget_.Lend(region, wanted, now);
}

bool Steering::AddLoan(const Loan& loan, TimePoint now) {
  const std::lock_guard lock(mutex_);
  return budget_.AddLoan(loan, now);
}

RegionUsage Steering::Usage(const std::string& region) const {
  const std::lock_guard lock(mutex_);
  return budget_.Usage(region);
}

int64_t Steering::TakeRefusalCount(const std::string& region) {
  const std::lock_guard lock(mutex_);
  return std::exchange(refusal_counts_[region], 0);
}

Admission Steering::Admit(const AdmissionRequest& request, TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (now - last_tick_ > options_.control_stall_timeout) {
    return Refuse(Refusal::kControlStalled);
  }
  const auto limiter =
      shift_limiters_.find({request.service->name, request.home_region});
  if (document_ == nullptr || limiter == shift_limiters_.end()) {
    return Refuse(Refusal::kNotReady);
  }
  RetryBudget& retry =
      retry_budgets_.try_emplace(request.service->name, options_.retry)
          .first->second;
  const bool is_retry = !request.retry_region.empty();
  if (!is_retry) retry.OnFirstAttempt();
  if (is_retry && !retry.TryTakeRetry()) return Refuse(Refusal::kRetrySpent);
  Admission admission;
  admission.target_region =
      is_retry ? request.retry_region : limiter->second.PickRegion();
  const PermitRequest permit_request{
      .region = admission.target_region,
      .time_limit = request.route->time_limit,
      .may_use_reserve = HasHighestWeight(*request.service, *request.route)};
  const std::optional<Permit> permit = budget_.Acquire(permit_request, now);
  if (!permit) {
    ++refusal_counts_[admission.target_region];
    return Refuse(Refusal::kRegionFull);
  }
  const std::optional<size_t> row =
      targets_.Choose({.service = request.service->name,
                       .region = admission.target_region,
                       .excluded_rows = request.tried_rows},
                      &random_, now);
  if (!row) {
    budget_.Release(*permit);
    return Refuse(Refusal::kNoTarget);
  }
  const TargetState& target = targets_.row(*row);
  admission.permit = *permit;
  admission.row = *row;
  admission.target_name = target.spec.name;
  admission.target_address = target.spec.address;
  admission.connection_limit = target.spec.connections;
  return admission;
}

TargetChange Steering::Finish(const Admission& admission, AttemptResult result,
                              Duration latency, TimePoint now) {
  const std::lock_guard lock(mutex_);
  budget_.Release(admission.permit);
  return targets_.Finish(admission.row, result, latency, now);
}

Duration Steering::ReserveLink(const std::string& from, const std::string& to,
                               int64_t bytes, TimePoint now) {
  if (from == to) return Duration::zero();
  const std::lock_guard lock(mutex_);
  const auto link = links_.find({from, to});
  if (link == links_.end()) return RateLimiter::kMaxWait;
  return link->second.TryReserve(bytes, now);
}

std::optional<std::string> Steering::IssueKey(TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (ledger_.size() >= options_.ledger.max_orders) return std::nullopt;
  const Duration expiry_since_start =
      now - options_.started_at + options_.key_lifetime;
  OrderKey key{
      .address = options_.traffic_address,
      .incarnation = options_.self.incarnation,
      .sequence = ++last_key_sequence_,
      .expires_seconds = static_cast<uint64_t>(ToSeconds(expiry_since_start))};
  key.keyed_hash = OrderKeyHash(key, options_.key_secret);
  return FormatOrderKey(key);
}

KeyStatus Steering::CheckKey(const OrderKey& key, TimePoint now) const {
  if (key.address != options_.traffic_address) return KeyStatus::kPeer;
  if (key.incarnation < options_.self.incarnation) return KeyStatus::kLost;
  if (key.keyed_hash != OrderKeyHash(key, options_.key_secret)) {
    return KeyStatus::kForged;
  }
  const double age = ToSeconds(now - options_.started_at);
  return age >= static_cast<double>(key.expires_seconds) ? KeyStatus::kExpired
                                                         : KeyStatus::kOwn;
}

BeginResult Steering::BeginOrder(const std::string& key, TimePoint now,
                                 OrderAnswer* answer) {
  const std::lock_guard lock(mutex_);
  // The record is kept for twice the lifetime of a key, so that it outlives
  // every moment at which CheckKey() still accepts the key.
  return ledger_.Begin(key, now + 2 * options_.key_lifetime, answer);
}

void Steering::AbandonOrder(const std::string& key) {
  const std::lock_guard lock(mutex_);
  ledger_.Abandon(key);
}

void Steering::CompleteOrder(const std::string& key, OrderAnswer answer) {
  const std::lock_guard lock(mutex_);
  ledger_.Complete(key, std::move(answer));
}

void Steering::MarkOrderUnknown(const std::string& key) {
  const std::lock_guard lock(mutex_);
  ledger_.MarkUnknown(key);
}

DocumentPtr Steering::document() const {
  const std::lock_guard lock(mutex_);
  return document_;
}

uint64_t Steering::document_revision() const {
  const std::lock_guard lock(mutex_);
  return document_revision_;
}

std::vector<MemberRecord> Steering::EntryHosts(std::string_view service,
                                               uint32_t client) const {
  const std::lock_guard lock(mutex_);
  LookupQuery query{.service = std::string(service), .client = client};
  query.home_region = document_ == nullptr
                          ? options_.region
                          : document_->HomeRegion(client, options_.region);
  return ChooseEntryHosts(members_, query);
}

std::vector<MemberRecord> Steering::Members() const {
  const std::lock_guard lock(mutex_);
  return members_;
}

std::vector<Position> Steering::Positions() const {
  const std::lock_guard lock(mutex_);
  std::vector<Position> positions;
  for (const auto& [key, limiter] : shift_limiters_) {
    positions.push_back({key.service, key.home, limiter.split()});
  }
  return positions;
}

std::set<LostRegion> Steering::LostRegions(TimePoint now) const {
  const std::lock_guard lock(mutex_);
  std::set<LostRegion> lost;
  for (size_t i = 0; i < targets_.size(); ++i) {
    const TargetState& state = targets_.row(i);
    const bool is_lost =
        !state.is_removed &&
        !targets_.IsRegionUsable(state.service, state.region, now);
    if (is_lost) lost.insert({state.service, state.region});
  }
  return lost;
}

std::vector<TargetState> Steering::Targets() const {
  const std::lock_guard lock(mutex_);
  std::vector<TargetState> rows;
  for (size_t i = 0; i < targets_.size(); ++i) rows.push_back(targets_.row(i));
  return rows;
}

RegionSplit Steering::DesiredSplit(const ServiceSpec& service,
                                   const std::string& home,
                                   TimePoint now) const {
  const RegionSplit* planned = &service.split.at(home);
  if (plan_.has_value()) {
    const auto position = plan_->services.find(service.name);
    if (position != plan_->services.end()) {
      const auto row = position->second.split.find(home);
      if (row != position->second.split.end()) planned = &row->second;
    }
  }
  RegionSplit usable;
  double sum = 0;
  for (const auto& [region, fraction] : *planned) {
    if (!targets_.IsRegionUsable(service.name, region, now)) continue;
    usable[region] = fraction;
    sum += fraction;
  }
  if (sum <= 0) return *planned;
  for (auto& [region, fraction] : usable) fraction /= sum;
  return usable;
}

void Steering::AddMissingPositions(TimePoint now) {
  if (document_ == nullptr || !plan_.has_value()) return;
  for (const ServiceSpec& service : document_->services) {
    const auto position = plan_->services.find(service.name);
    for (const auto& [home, split] : service.split) {
      const RegionSplit* start = &split;
      if (position != plan_->services.end()) {
        const auto row = position->second.split.find(home);
        if (row != position->second.split.end()) start = &row->second;
      }
      shift_limiters_.try_emplace({service.name, home},
                                  ShiftLimiter(*start, now));
    }
  }
}

void Steering::UpdateLinkRates() {
  if (document_ == nullptr) return;
  for (const LinkSpec& link : document_->links) {
    const double rate =
        link_share_ * static_cast<double>(link.bytes_per_second);
    links_[{link.from, link.to}].SetRate(static_cast<int64_t>(rate));
  }
}

}  // namespace greengage
