#ifndef GG_DAEMON_CONTROL_ACTOR_H_
#define GG_DAEMON_CONTROL_ACTOR_H_

#include <functional>
#include <memory>
#include <string>

#include "gg_daemon/control_message.h"
#include "gg_steering/controller.h"

namespace greengage {

/** Copy of the controller's state that other threads can read. */
struct ControlSnapshot {
  bool is_ready = false;
  bool is_store_available = false;
  bool has_released_all_slices = false;
  std::string status_json;    // a JSON object
  std::string document_text;  // empty before the first document
};

/** Runs a Controller as a CAF actor on a scheduler with a single thread, the
    control thread. All methods may be called from any thread. */
class ControlActor {
 public:
  struct Options {
    Controller::Options controller;
    ControllerHooks hooks;
    Steering* steering = nullptr;                    // not owned
    Duration tick = std::chrono::milliseconds(100);  // between controller ticks
  };

  explicit ControlActor(Options options);
  ~ControlActor();
  ControlActor(const ControlActor&) = delete;
  ControlActor& operator=(const ControlActor&) = delete;

  //==============================================================================
  /** Queues a message for the control thread and returns at once. */
  void Send(ControlMessage message);

  /** Returns the state as of the last tick. The texts are updated only every
      few ticks. */
  ControlSnapshot Snapshot() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace greengage

#endif  // GG_DAEMON_CONTROL_ACTOR_H_
