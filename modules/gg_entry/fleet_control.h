#ifndef GG_ENTRY_FLEET_CONTROL_H_
#define GG_ENTRY_FLEET_CONTROL_H_

#include <memory>
#include <vector>

#include "gg_fleet/fleet_state.h"

namespace greengage {

/** Runs a FleetState as a CAF actor on a scheduler with a single thread, the
    control thread. All methods may be called from any thread. */
class FleetControl {
 public:
  struct Options {
    FleetState::Options fleet;
    FleetStateHooks hooks;  // called on the control thread
    /** Interval between calls of FleetState::Tick(): about a fifteenth of the
        silence after which a daemon is suspected. */
    Duration tick_interval = std::chrono::milliseconds(100);
  };

  explicit FleetControl(Options options);
  ~FleetControl();
  FleetControl(const FleetControl&) = delete;
  FleetControl& operator=(const FleetControl&) = delete;

  /** Queues events for the control thread and returns at once. The view that
      follows reflects all of them. */
  void Send(std::vector<FleetEvent> events);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace greengage

#endif  // GG_ENTRY_FLEET_CONTROL_H_
