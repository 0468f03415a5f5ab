#include "gg_store/store_session.h"

#include <algorithm>

namespace greengage {
namespace {

/** Keeps the shift that computes the backoff within an int. */
constexpr int kMaxBackoffDoublings = 16;

/** Time between two checks whether the watch has been enabled. */
constexpr Duration kWatchEnabledPollInterval = std::chrono::milliseconds(500);

}  // namespace

StoreSession::StoreSession(asio::io_context* context, StoreClient* client,
                           Options options, StoreSessionHooks hooks)
    : context_(context),
      client_(client),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      random_(options_.seed) {}

void StoreSession::Start() { asio::co_spawn(*context_, Run(), asio::detached); }

void StoreSession::SetWatchEnabled(bool is_enabled) {
  is_watch_enabled_ = is_enabled;
  if (!is_enabled) {
    asio::post(*context_, [this] { client_->CancelWatch(); });
  }
}

asio::awaitable<void> StoreSession::Run() {
  for (;;) {
    uint64_t store_revision = 0;
    const absl::Status read = co_await ReadAll(&store_revision);
    ReportAvailability(read.ok(), read);
    if (!read.ok()) {
      co_await SleepFor(NextBackoff());
      continue;
    }
    consecutive_failures_ = 0;
    if (!is_watch_enabled_) {
      co_await WaitForProbe();
      continue;
    }
    const absl::Status ended = co_await client_->Watch(
        options_.prefix, store_revision + 1, options_.watch_idle_timeout,
        [this](const StoreReadResult& changes) {
          for (const StoreEntry& entry : changes.entries) {
            hooks_.on_entry(entry);
          }
        });
    // The next read determines whether the store is unreachable. The random
    // delay prevents many watchers from reconnecting at the same time.
    co_await SleepFor(NextBackoff());
  }
}

asio::awaitable<absl::Status> StoreSession::ReadAll(uint64_t* store_revision) {
  const absl::StatusOr<StoreReadResult> read =
      co_await client_->GetPrefix(options_.prefix);
  if (!read.ok()) co_return read.status();
  *store_revision = read->store_revision;
  for (const StoreEntry& entry : read->entries) hooks_.on_entry(entry);
  hooks_.on_read_complete();
  co_return absl::OkStatus();
}

asio::awaitable<void> StoreSession::WaitForProbe() {
  Duration waited{};
  while (!is_watch_enabled_ && waited < options_.probe_interval) {
    co_await SleepFor(kWatchEnabledPollInterval);
    waited += kWatchEnabledPollInterval;
  }
}

void StoreSession::ReportAvailability(bool is_available,
                                      const absl::Status& reason) {
  if (is_available == is_available_) return;
  is_available_ = is_available;
  hooks_.on_availability_changed(is_available, reason);
}

Duration StoreSession::NextBackoff() {
  const int doublings = std::min(consecutive_failures_, kMaxBackoffDoublings);
  ++consecutive_failures_;
  const double longest =
      std::min(ToSeconds(options_.max_backoff),
               ToSeconds(options_.initial_backoff) * (1 << doublings));
  return FromSeconds(longest * random_.NextDouble());
}

}  // namespace greengage
