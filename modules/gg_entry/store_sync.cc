#include "gg_entry/store_sync.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gg_insight/event_log.h"

namespace greengage {
namespace {

std::string Message(const absl::Status& status) {
  return {status.message().data(), status.message().size()};
}

/** Enters what `event` says to exist into the snapshot. */
void NoteExisting(const FleetEvent& event, SnapshotComplete* snapshot) {
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
  asio::co_spawn(*context_, Follow(), asio::detached);
  asio::co_spawn(*context_, Register(), asio::detached);
}

void StoreSync::Leave() {
  is_leaving_ = true;
  if (lease_ != 0) asio::co_spawn(*context_, EndLease(), asio::detached);
}

void StoreSync::NoteRevision(uint64_t revision) {
  peers_revision_ = std::max(peers_revision_, revision);
}

void StoreSync::Tick(TimePoint now) {
  // While the store does not answer there is nothing to be behind of.
  const bool is_behind = is_reachable_ && peers_revision_ > cursor_ &&
                         peers_revision_ != checked_revision_;
  if (!is_behind) {
    behind_since_.reset();
    return;
  }
  if (!behind_since_) behind_since_ = now;
  const TimePoint since = std::max(*behind_since_, watch_began_);
  if (now - since < options_.watch_lag) return;
  behind_since_.reset();
  checked_revision_ = peers_revision_;
  LogEvent(LogLevel::kInfo, Event::kStoreReadAnew,
           absl::StrCat("watch broken off: seen=", cursor_,
                        " others=", peers_revision_));
  store_.cancel_watch();
}

asio::awaitable<void> StoreSync::EndLease() {
  const absl::Status ended = co_await store_.end_lease(lease_);
  // It ends by itself a little later.
  if (!ended.ok()) LogError(Event::kStoreUnavailable, ended);
}

asio::awaitable<void> StoreSync::WaitForStore(int failures) {
  co_await SleepFor(Pause(failures));
  const TimePoint give_up =
      std::chrono::steady_clock::now() + options_.longest_wait;
  while (!is_reachable_ && lease_ != 0 &&
         std::chrono::steady_clock::now() < give_up) {
    co_await SleepFor(options_.first_pause);
  }
}

void StoreSync::Report(const absl::Status& status) {
  // A watch that began during the outage may wait on a dead connection.
  if (status.ok() && !is_reachable_) store_.cancel_watch();
  is_reachable_ = status.ok();
  hooks_.on_event(StoreReachabilityChanged{status.ok(), Message(status)});
}

Duration StoreSync::Pause(int failures) {
  const Duration most =
      std::min<Duration>(options_.first_pause * (1 << std::min(failures, 6)),
                         options_.longest_pause);
  return FromSeconds(ToSeconds(most) * (0.5 + random_.NextDouble() / 2));
}

void StoreSync::Deliver(const KeyValueItem& item, SnapshotComplete* snapshot) {
  const std::optional<FleetEvent> event = decode_item_(item.key, item.value);
  if (!event) return;
  if (snapshot != nullptr) NoteExisting(*event, snapshot);
  newest_revision_ = std::max(newest_revision_, item.revision);
  uint64_t& newest = revisions_[item.key];
  if (item.revision <= newest) return;  // told before
  newest = item.revision;
  if (!item.value) revisions_.erase(item.key);
  hooks_.on_event(*event);
}

asio::awaitable<bool> StoreSync::ReadAll() {
  SnapshotComplete snapshot;
  std::string after;
  uint64_t first_revision = 0;
  for (;;) {
    const auto page = co_await store_.read_page(after);
    Report(page.status());
    if (!page.ok()) co_return false;
    // Pages are no snapshot: changes since the first one are watched.
    if (first_revision == 0) first_revision = page->store_revision;
    for (const KeyValueItem& item : page->items) Deliver(item, &snapshot);
    if (!page->has_more || page->items.empty()) break;
    after = page->items.back().key;
  }
  cursor_ = first_revision;
  if (hooks_.on_read) hooks_.on_read(first_revision);
  hooks_.on_event(std::move(snapshot));
  co_return true;
}

asio::awaitable<void> StoreSync::Follow() {
  int failures = 0;
  for (;;) {
    const bool is_read = co_await ReadAll();
    if (!is_read) {
      co_await WaitForStore(failures++);
      continue;
    }
    failures = 0;
    co_await WatchOn();
    LogEvent(LogLevel::kInfo, Event::kStoreReadAnew,
             absl::StrCat("history gone since revision=", cursor_));
  }
}

/** Watches until the history that follows the cursor is gone. */
asio::awaitable<void> StoreSync::WatchOn() {
  int failures = 0;
  for (;;) {
    watch_began_ = std::chrono::steady_clock::now();
    const auto changes = co_await store_.watch(cursor_, options_.watch_wait);
    if (changes.status().code() == absl::StatusCode::kOutOfRange) co_return;
    if (absl::IsCancelled(changes.status())) continue;  // by this daemon
    const bool is_relayed = changes.ok() && changes->is_relayed;
    if (!is_relayed) Report(changes.status());
    if (!changes.ok()) {
      co_await WaitForStore(failures++);
      continue;
    }
    failures = 0;
    for (const KeyValueItem& item : changes->items) Deliver(item, nullptr);
    cursor_ = std::max(cursor_, changes->store_revision);
    if (hooks_.on_changes) hooks_.on_changes(*changes);
    if (!changes->items.empty() && !is_relayed) {
      co_await SleepFor(options_.gather);
    }
  }
}

asio::awaitable<void> StoreSync::Register() {
  int failures = 0;
  while (!is_leaving_) {
    absl::Status status;
    if (lease_ == 0) {
      const auto granted = co_await store_.grant_lease(options_.lease_time);
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
    Report(status);
    failures = status.ok() ? 0 : failures + 1;
    co_await SleepFor(status.ok() ? options_.renew_interval : Pause(failures));
  }
}

}  // namespace greengage
