#ifndef GG_DAEMON_DAEMON_H_
#define GG_DAEMON_DAEMON_H_

#include <memory>

#include "absl/status/status.h"
#include "gg_daemon/settings.h"

namespace greengage {

/** Runs one daemon from its start to the end of its graceful stop.

    Threads: the control thread (CAF), one thread for peers and the store, and
    Settings::threads threads for callers. Create it and call Run() on the main
    thread. */
class Daemon {
 public:
  explicit Daemon(Settings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /** Serves until SIGTERM or SIGINT, then drains. Look-up responses no longer
      name this host, cached ones expire, active requests complete, and the
      slices are released.
      @return an error when the daemon could not start. */
  absl::Status Run();

 private:
  struct Components;

  Settings settings_;
  std::unique_ptr<Components> components_;
};

}  // namespace greengage

#endif  // GG_DAEMON_DAEMON_H_
