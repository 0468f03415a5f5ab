#include "gg_store/store_session.h"

#include <algorithm>

namespace greengage {
namespace {

constexpr int kMaxBackoffDoublings = 16;

/** Pause between looks at whether to watch again. */
constexpr Duration kWatchingCheck = std::chrono::milliseconds(500);

}  // namespace

StoreSession::StoreSession(asio::io_context* context, StoreClient* client,
                           Options options, StoreSessionHooks hooks)
    : context_(context),
      client_(client),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      random_(options_.seed) {}

void StoreSession::Start() { asio::co_spawn(*context_, Run(), asio::detached); }

void StoreSession::SetWatching(bool watching) {
  watching_ = watching;
  if (!watching) {
    asio::post(*context_, [this] { client_->CancelWatch(); });
  }
}

asio::awaitable<void> StoreSession::Run() {
  for (;;) {
    uint64_t store_revision = 0;
    const absl::Status read = co_await ReadAll(&store_revision);
    Report(read.ok(), read);
    if (!read.ok()) {
      co_await SleepFor(NextBackoff());
      continue;
    }
    failures_ = 0;
    if (!watching_) {
      co_await WaitToProbe();
      continue;
    }
    const absl::Status ended = co_await client_->Watch(
        options_.prefix, store_revision + 1, options_.watch_idle_limit,
        [this](const StoreRead& changes) {
          for (const StoreEntry& entry : changes.entries) {
            hooks_.on_entry(entry);
          }
        });
    // Whether the store is down is decided by the next read; the pause keeps
    // many watchers from coming back at the same moment.
    co_await SleepFor(NextBackoff());
  }
}

asio::awaitable<absl::Status> StoreSession::ReadAll(uint64_t* store_revision) {
  const absl::StatusOr<StoreRead> read =
      co_await client_->GetPrefix(options_.prefix);
  if (!read.ok()) co_return read.status();
  *store_revision = read->store_revision;
  for (const StoreEntry& entry : read->entries) hooks_.on_entry(entry);
  hooks_.on_complete_read();
  co_return absl::OkStatus();
}

asio::awaitable<void> StoreSession::WaitToProbe() {
  Duration waited{};
  while (!watching_ && waited < options_.probe_interval) {
    co_await SleepFor(kWatchingCheck);
    waited += kWatchingCheck;
  }
}

void StoreSession::Report(bool available, const absl::Status& reason) {
  if (available == available_) return;
  available_ = available;
  hooks_.on_available(available, reason);
}

Duration StoreSession::NextBackoff() {
  const int doublings = std::min(failures_, kMaxBackoffDoublings);
  ++failures_;
  const double longest =
      std::min(ToSeconds(options_.last_backoff),
               ToSeconds(options_.first_backoff) * (1 << doublings));
  return FromSeconds(longest * random_.NextDouble());
}

}  // namespace greengage
