#include "gg_entry/store_sync.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gg_insight/event_log.h"

namespace greengage {
namespace {

std::string Message(const absl::Status& status) {
  return {status.message().data(), status.message().size()};
}

/** Adds the target, daemon or evacuated zone that `event` is about to the
    snapshot, if its key exists. */
void AddToSnapshot(const FleetEvent& event, SnapshotComplete* snapshot) {
  if (const auto* target = std::get_if<TargetListed>(&event)) {
    snapshot->target_ids.insert(target->record.id);
  } else if (const auto* member = std::get_if<MemberListed>(&event)) {
    snapshot->member_names.insert(member->member.name);
  } else if (const auto* zone = std::get_if<EvacuationChanged>(&event)) {
    if (zone->is_evacuated) snapshot->evacuated_zones.insert(zone->zone);
  } else if (const auto* refused = std::get_if<ValueRefused>(&event)) {
    // The entry exists, so that the last valid one stays active.
    if (!refused->target_id.empty()) {
      snapshot->target_ids.insert(refused->target_id);
    }
    if (!refused->member_name.empty()) {
      snapshot->member_names.insert(refused->member_name);
    }
  }
}

}  // namespace

StoreSync::StoreSync(asio::io_context* context, KeyValueStore store,
                     std::function<std::optional<FleetEvent>(
                         const std::string&, const std::optional<std::string>&)>
                         decode_item,
                     Options options, Hooks hooks)
    : context_(context),
      store_(std::move(store)),
      decode_item_(std::move(decode_item)),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      random_(options_.seed) {}

void StoreSync::Start() {
  asio::co_spawn(*context_, FollowStore(), asio::detached);
  asio::co_spawn(*context_, Register(), asio::detached);
}

void StoreSync::Deregister() {
  is_leaving_ = true;
  if (lease_ != 0) asio::co_spawn(*context_, RevokeLease(), asio::detached);
}

void StoreSync::NotePeerPosition(StorePosition position) {
  // Daemons of earlier builds name no era.
  if (position.era == 0) position.era = watched_position_.era;
  peer_position_ = std::max(peer_position_, position);
}

uint64_t StoreSync::NewestEra() const {
  const uint64_t named = store_.newest_era ? store_.newest_era() : 0;
  return std::max({named, peer_position_.era, watched_position_.era});
}

bool StoreSync::IsRestored() const {
  return NewestEra() > std::max(watched_position_.era, era_at_last_read_);
}

void StoreSync::Tick(TimePoint now) {
  // A watch of an older era may stay silent while changes occur.
  if (IsRestored()) {
    store_.cancel_watch();
    return;
  }
  // A watch can't make progress while the store is unreachable.
  const bool is_behind = is_reachable_ && peer_position_ > watched_position_ &&
                         peer_position_ != cancelled_at_position_;
  if (!is_behind) {
    behind_since_.reset();
    return;
  }
  if (!behind_since_) behind_since_ = now;
  // A response that is still arriving brings the missing changes. Breaking it
  // off would only make the next one longer.
  const TimePoint since =
      std::max({*behind_since_, watch_began_at_, store_.watch_progress_at()});
  if (now - since < options_.max_watch_lag) return;
  behind_since_.reset();
  cancelled_at_position_ = peer_position_;
  LogEvent(LogLevel::kInfo, Event::kStoreReadAnew,
           absl::StrCat("watch broken off: seen=", watched_position_.revision,
                        " others=", peer_position_.revision,
                        " era=", watched_position_.era));
  store_.cancel_watch();
}

asio::awaitable<void> StoreSync::RevokeLease() {
  const absl::Status ended = co_await store_.revoke_lease(lease_);
  // Otherwise the lease expires by itself.
  if (!ended.ok()) LogError(Event::kStoreUnavailable, ended);
}

asio::awaitable<void> StoreSync::WaitForStore(int failures) {
  co_await SleepFor(Backoff(failures));
  const TimePoint deadline =
      std::chrono::steady_clock::now() + options_.max_recovery_wait;
  while (!is_reachable_ && lease_ != 0 &&
         std::chrono::steady_clock::now() < deadline) {
    co_await SleepFor(options_.initial_backoff);
  }
}

void StoreSync::ReportReachability(const absl::Status& status) {
  // A watch started during the outage may be waiting on a broken connection.
  if (status.ok() && !is_reachable_) store_.cancel_watch();
  is_reachable_ = status.ok();
  hooks_.on_events({StoreReachabilityChanged{status.ok(), Message(status)}});
}

Duration StoreSync::Backoff(int failures) {
  const Duration max_delay = std::min<Duration>(
      options_.initial_backoff * (1 << std::min(failures, 6)),
      options_.max_backoff);
  return FromSeconds(ToSeconds(max_delay) * (0.5 + random_.NextDouble() / 2));
}

void StoreSync::Deliver(const std::vector<KeyValueItem>& items, uint64_t era,
                        SnapshotComplete* snapshot) {
  std::vector<FleetEvent> events;
  const KeyValueItem* passed_over = nullptr;
  StorePosition passed_over_for;  // of the same key, known before
  for (const KeyValueItem& item : items) {
    std::optional<FleetEvent> event = decode_item_(item.key, item.value);
    if (!event) continue;
    if (snapshot != nullptr) AddToSnapshot(*event, snapshot);
    const StorePosition position{.era = era, .revision = item.revision};
    newest_position_ = std::max(newest_position_, position);
    StorePosition& newest = delivered_positions_[item.key];
    if (position < newest) {
      passed_over = &item;
      passed_over_for = newest;
    }
    if (position <= newest) continue;  // delivered before
    newest = position;
    if (!item.value) delivered_positions_.erase(item.key);
    const auto* unlisted = std::get_if<MemberUnlisted>(&*event);
    if (unlisted != nullptr && unlisted->name == options_.self.name) {
      GiveUpLease("the entry is gone");
    }
    events.push_back(*std::move(event));
  }
  if (passed_over != nullptr) {
    LogEvent(LogLevel::kWarning, Event::kStoreItemPassedOver,
             absl::StrCat("key=", passed_over->key, " era=", era,
                          " revision=", passed_over->revision,
                          " known_era=", passed_over_for.era,
                          " known=", passed_over_for.revision));
  }
  if (!events.empty()) hooks_.on_events(std::move(events));
}

asio::awaitable<bool> StoreSync::ReadAll() {
  era_at_last_read_ = NewestEra();
  SnapshotComplete snapshot;
  std::string after;
  std::optional<StorePosition> first;
  for (;;) {
    const auto page = co_await store_.read_page(after);
    ReportReachability(page.status());
    if (!page.ok()) co_return false;
    const uint64_t known_era = first ? first->era : watched_position_.era;
    const uint64_t era = page->era != 0 ? page->era : known_era;
    if (era != known_era && (first || known_era != 0)) {
      LogEvent(LogLevel::kWarning, Event::kStoreEraChanged,
               absl::StrCat("era=", era, " previous=", known_era,
                            " revision=", page->store_revision,
                            " known=", watched_position_.revision));
      // The pages read so far are of another history.
      if (first || era < known_era) co_return false;
      hooks_.on_events({StoreRestored{}});
    }
    // The pages are not a consistent snapshot, so the watch starts at the
    // revision of the first one.
    if (!first) first = {.era = era, .revision = page->store_revision};
    Deliver(page->items, era, &snapshot);
    if (!page->has_more || page->items.empty()) break;
    after = page->items.back().key;
  }
  watched_position_ = *first;
  if (hooks_.on_full_read) hooks_.on_full_read(watched_position_);
  hooks_.on_events({std::move(snapshot)});
  co_return true;
}

asio::awaitable<void> StoreSync::FollowStore() {
  int failures = 0;
  for (;;) {
    const bool is_read = co_await ReadAll();
    if (!is_read) {
      co_await WaitForStore(failures++);
      continue;
    }
    failures = 0;
    co_await WatchUntilHistoryLost();
    LogEvent(
        LogLevel::kInfo, Event::kStoreReadAnew,
        absl::StrCat("history gone since revision=", watched_position_.revision,
                     " era=", watched_position_.era));
  }
}

/** Watches for changes until the store no longer has those that follow
    `watched_position_`, or was restored. */
asio::awaitable<void> StoreSync::WatchUntilHistoryLost() {
  int failures = 0;
  for (;;) {
    if (IsRestored()) co_return;
    watch_began_at_ = std::chrono::steady_clock::now();
    const auto changes =
        co_await store_.watch(watched_position_, options_.watch_timeout);
    if (changes.status().code() == absl::StatusCode::kOutOfRange) co_return;
    if (absl::IsCancelled(changes.status())) continue;  // cancelled here
    const bool is_relayed = changes.ok() && changes->is_relayed;
    if (!is_relayed) ReportReachability(changes.status());
    if (!changes.ok()) {
      co_await WaitForStore(failures++);
      continue;
    }
    // Changes of another era don't continue what is known.
    const bool is_same_era =
        changes->era == 0 || changes->era == watched_position_.era;
    if (!is_same_era) co_return;
    failures = 0;
    Deliver(changes->items, watched_position_.era, nullptr);
    watched_position_.revision =
        std::max(watched_position_.revision, changes->store_revision);
    if (hooks_.on_changes) hooks_.on_changes(*changes);
    if (!changes->items.empty() && !is_relayed) {
      co_await SleepFor(options_.batch_delay);
    }
  }
}

void StoreSync::GiveUpLease(const std::string& reason) {
  if (lease_ == 0 || is_leaving_) return;
  LogEvent(LogLevel::kInfo, Event::kMemberEntryLost,
           absl::StrCat("lease=", lease_, " era=", lease_era_, " reason=\"",
                        reason, "\""));
  lease_ = 0;
}

asio::awaitable<absl::Status> StoreSync::RegisterAnew() {
  const uint64_t era = NewestEra();
  const auto granted = co_await store_.grant_lease(options_.lease_ttl);
  if (!granted.ok()) co_return granted.status();
  const absl::Status put = co_await store_.put_member(options_.self, *granted);
  if (!put.ok()) co_return put;
  // A lease that was granted before a restore may be another daemon's after it.
  const bool is_first_response = era == 0;
  if (NewestEra() != era && !is_first_response) co_return absl::OkStatus();
  lease_ = *granted;
  lease_era_ = NewestEra();
  LogEvent(LogLevel::kInfo, Event::kMemberRegistered,
           absl::StrCat("host=", options_.self.name, " lease=", lease_,
                        " era=", lease_era_));
  co_return absl::OkStatus();
}

asio::awaitable<absl::Status> StoreSync::RenewLease() {
  const uint64_t lease = lease_;
  absl::Status status = co_await store_.renew_lease(lease);
  if (lease_ != lease) co_return absl::OkStatus();  // given up meanwhile
  if (status.code() == absl::StatusCode::kNotFound) {
    GiveUpLease("expired");
    co_return absl::OkStatus();
  }
  if (NewestEra() != lease_era_) GiveUpLease("the store was restored");
  co_return status;
}

asio::awaitable<void> StoreSync::Register() {
  int failures = 0;
  while (!is_leaving_) {
    if (lease_ != 0 && NewestEra() != lease_era_) {
      GiveUpLease("the store was restored");
    }
    absl::Status status;
    if (lease_ == 0) {
      status = co_await RegisterAnew();
    } else {
      status = co_await RenewLease();
    }
    ReportReachability(status);
    failures = status.ok() ? 0 : failures + 1;
    if (status.ok() && lease_ == 0) continue;  // register at once
    co_await SleepFor(status.ok() ? options_.renew_interval
                                  : Backoff(failures));
  }
}

}  // namespace greengage
