#ifndef GG_STORE_STORE_SESSION_H_
#define GG_STORE_STORE_SESSION_H_

#include <atomic>
#include <functional>
#include <string>

#include "absl/status/status.h"
#include "gg_core/random.h"
#include "gg_core/time.h"
#include "gg_store/asio.h"
#include "gg_store/store_client.h"

namespace greengage {

/** What a session reports. Hooks run on the session's io_context. */
struct StoreSessionHooks {
  /** A key under the prefix was read or has changed. */
  std::function<void(const StoreEntry& entry)> on_entry;
  /** All keys under the prefix have been read; absent ones do not exist. */
  std::function<void()> on_read_complete;
  /** The store answers again, or has stopped to. */
  std::function<void(bool is_available, const absl::Status& reason)>
      on_availability_changed;
};

/** Keeps the keys under one prefix up to date: one read, then one watch, and
    after a failure again from the start.

    Attempts that fail are spaced by exponential backoff with full jitter
    (Brooker, "Exponential Backoff And Jitter", 2015), so that a fleet does not
    storm a store that returns. A session that does not watch still probes the
    store with one read every `probe_interval`. */
class StoreSession {
 public:
  struct Options {
    std::string prefix;
    Duration initial_backoff = std::chrono::milliseconds(200);
    Duration max_backoff = std::chrono::seconds(10);
    Duration watch_idle_timeout = std::chrono::seconds(30);
    Duration probe_interval = std::chrono::seconds(30);
    uint64_t seed = 1;
  };

  StoreSession(asio::io_context* context, StoreClient* client, Options options,
               StoreSessionHooks hooks);

  //==============================================================================
  /** Starts; runs until the io_context stops. */
  void Start();

  /** Starts or ends the watch. Any thread may call it. */
  void SetWatchEnabled(bool is_enabled);

 private:
  asio::awaitable<void> Run();
  asio::awaitable<absl::Status> ReadAll(uint64_t* store_revision);
  asio::awaitable<void> WaitForProbe();
  void ReportAvailability(bool is_available, const absl::Status& reason);
  Duration NextBackoff();

  asio::io_context* context_;  // not owned
  StoreClient* client_;        // not owned
  Options options_;
  StoreSessionHooks hooks_;
  Random random_;
  std::atomic<bool> is_watch_enabled_ = true;
  bool is_available_ = false;
  int consecutive_failures_ = 0;
};

}  // namespace greengage

#endif  // GG_STORE_STORE_SESSION_H_
