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

/** Callbacks of a StoreSession, called on its io_context. */
struct StoreSessionHooks {
  /** Called for each key under the prefix that was read or has changed. */
  std::function<void(const StoreEntry& entry)> on_entry;
  /** Called when all keys under the prefix have been read. Keys without a
      preceding on_entry do not exist. */
  std::function<void()> on_read_complete;
  /** Called when the store becomes reachable or unreachable.
      @param reason  the error of the failed read, else OK. */
  std::function<void(bool is_available, const absl::Status& reason)>
      on_availability_changed;
};

/** Reports the current values of all keys under one prefix: reads them once,
    then watches them, and starts again after a failure.

    Retries are delayed by exponential backoff with full jitter (Brooker,
    "Exponential Backoff And Jitter", 2015), so that a fleet does not overload a
    store that has just recovered. While the watch is disabled, the session
    reads all keys once every `probe_interval`, which shows whether the store is
    reachable. */
class StoreSession {
 public:
  struct Options {
    std::string prefix;
    Duration initial_backoff = std::chrono::milliseconds(200);
    Duration max_backoff = std::chrono::seconds(10);
    Duration watch_idle_timeout = std::chrono::seconds(30);
    Duration probe_interval = std::chrono::seconds(30);
    uint64_t seed = 1;  // of the jitter
  };

  StoreSession(asio::io_context* context, StoreClient* client, Options options,
               StoreSessionHooks hooks);

  //==============================================================================
  /** Starts the session, which runs until the io_context stops. */
  void Start();

  /** Enables or disables the watch. May be called from any thread. */
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
