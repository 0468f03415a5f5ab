#ifndef GG_DAEMON_DAEMON_H_
#define GG_DAEMON_DAEMON_H_

#include <memory>

#include "absl/status/status.h"
#include "gg_daemon/settings.h"

namespace greengage {

/** One daemon from start to drained stop.

    Threads: the control thread (CAF), one for peers and the store, and
    Settings::threads for callers. Create and run it on the main thread. */
class Daemon {
 public:
  explicit Daemon(Settings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /** Serves until SIGTERM or SIGINT, then drains: no look-up names this host
     any more, cached look-ups run out, requests in flight end, slices are given
     up.
      @return an error when the daemon could not start. */
  absl::Status Run();

 private:
  struct Components;

  Settings settings_;
  std::unique_ptr<Components> components_;
};

}  // namespace greengage

#endif  // GG_DAEMON_DAEMON_H_
