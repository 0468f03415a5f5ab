#include "gg_entry/store_sync.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gg_insight/event_log.h"

namespace greengage {
namespace {

std::string Message(const absl::Status& status) {
  return {status.message().data(), status.message().size()};
}

/** Adds the target, daemon or evacuated zone that `event` lists to the
    snapshot. */
void AddToSnapshot(const FleetEvent& event, SnapshotComplete* snapshot) {
  if (const auto* target = std::get_if<TargetListed>(&event)) {
    snapshot->target_ids.insert(target->record.id);
  } else if (const auto* member = std::get_if<MemberListed>(&event)) {
    snapshot->member_names.insert(member->member.name);
  } else if (const auto* zone = std::get_if<EvacuationChanged>(&event)) {
    if (zone->is_evacuated) snapshot->evacuated_zones.insert(zone->zone);
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

void StoreSync::NotePeerRevision(uint64_t revision) {
  peer_revision_ = std::max(peer_revision_, revision);
}

void StoreSync::Tick(TimePoint now) {
  // A watch can't make progress while the store is unreachable.
  const bool is_behind = is_reachable_ && peer_revision_ > watched_revision_ &&
                         peer_revision_ != cancelled_at_revision_;
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
  cancelled_at_revision_ = peer_revision_;
  LogEvent(LogLevel::kInfo, Event::kStoreReadAnew,
           absl::StrCat("watch broken off: seen=", watched_revision_,
                        " others=", peer_revision_));
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

void StoreSync::Deliver(const std::vector<KeyValueItem>& items,
                        SnapshotComplete* snapshot) {
  std::vector<FleetEvent> events;
  const KeyValueItem* passed_over = nullptr;
  uint64_t passed_over_for = 0;  // revision of the same key, known before
  for (const KeyValueItem& item : items) {
    std::optional<FleetEvent> event = decode_item_(item.key, item.value);
    if (!event) continue;
    if (snapshot != nullptr) AddToSnapshot(*event, snapshot);
    newest_revision_ = std::max(newest_revision_, item.revision);
    uint64_t& newest = delivered_revisions_[item.key];
    if (item.revision < newest) {
      passed_over = &item;
      passed_over_for = newest;
    }
    if (item.revision <= newest) continue;  // delivered before
    newest = item.revision;
    if (!item.value) delivered_revisions_.erase(item.key);
    events.push_back(*std::move(event));
  }
  if (passed_over != nullptr) {
    LogEvent(LogLevel::kWarning, Event::kStoreItemPassedOver,
             absl::StrCat(
                 "key=", passed_over->key, " revision=", passed_over->revision,
                 " known=", passed_over_for, " era=", era_.value_or(0)));
  }
  if (!events.empty()) hooks_.on_events(std::move(events));
}

void StoreSync::NoteEra(const KeyValueReadResult& read) {
  if (!read.era || era_ == read.era) return;
  if (era_) {
    LogEvent(LogLevel::kInfo, Event::kStoreEraChanged,
             absl::StrCat("era=", *read.era, " previous=", *era_,
                          " revision=", read.store_revision,
                          " known=", watched_revision_));
  }
  era_ = read.era;
}

asio::awaitable<bool> StoreSync::ReadAll() {
  SnapshotComplete snapshot;
  std::string after;
  uint64_t first_revision = 0;
  for (;;) {
    const auto page = co_await store_.read_page(after);
    ReportReachability(page.status());
    if (!page.ok()) co_return false;
    NoteEra(*page);
    // The pages are not a consistent snapshot, so the watch starts at the
    // revision of the first one.
    if (first_revision == 0) first_revision = page->store_revision;
    Deliver(page->items, &snapshot);
    if (!page->has_more || page->items.empty()) break;
    after = page->items.back().key;
  }
  watched_revision_ = first_revision;
  if (hooks_.on_full_read) hooks_.on_full_read(first_revision);
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
    LogEvent(LogLevel::kInfo, Event::kStoreReadAnew,
             absl::StrCat("history gone since revision=", watched_revision_));
  }
}

/** Watches for changes until the store no longer has those that follow
    `watched_revision_`. */
asio::awaitable<void> StoreSync::WatchUntilHistoryLost() {
  int failures = 0;
  for (;;) {
    watch_began_at_ = std::chrono::steady_clock::now();
    const auto changes =
        co_await store_.watch(watched_revision_, options_.watch_timeout);
    if (changes.status().code() == absl::StatusCode::kOutOfRange) co_return;
    if (absl::IsCancelled(changes.status())) continue;  // cancelled here
    const bool is_relayed = changes.ok() && changes->is_relayed;
    if (!is_relayed) ReportReachability(changes.status());
    if (!changes.ok()) {
      co_await WaitForStore(failures++);
      continue;
    }
    failures = 0;
    NoteEra(*changes);
    Deliver(changes->items, nullptr);
    watched_revision_ = std::max(watched_revision_, changes->store_revision);
    if (hooks_.on_changes) hooks_.on_changes(*changes);
    if (!changes->items.empty() && !is_relayed) {
      co_await SleepFor(options_.batch_delay);
    }
  }
}

asio::awaitable<void> StoreSync::Register() {
  int failures = 0;
  while (!is_leaving_) {
    absl::Status status;
    if (lease_ == 0) {
      const auto granted = co_await store_.grant_lease(options_.lease_ttl);
      status = granted.status();
      if (granted.ok()) {
        status = co_await store_.put_member(options_.self, *granted);
        if (status.ok()) {
          lease_ = *granted;
          LogEvent(
              LogLevel::kInfo, Event::kMemberRegistered,
              absl::StrCat("host=", options_.self.name, " lease=", lease_));
        }
      }
    } else {
      status = co_await store_.renew_lease(lease_);
      if (status.code() == absl::StatusCode::kNotFound) {
        lease_ = 0;
        continue;
      }
    }
    ReportReachability(status);
    failures = status.ok() ? 0 : failures + 1;
    co_await SleepFor(status.ok() ? options_.renew_interval
                                  : Backoff(failures));
  }
}

}  // namespace greengage
