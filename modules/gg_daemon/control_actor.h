#ifndef GG_DAEMON_CONTROL_ACTOR_H_
#define GG_DAEMON_CONTROL_ACTOR_H_

#include <functional>
#include <memory>
#include <string>

#include "gg_daemon/control_message.h"
#include "gg_steering/controller.h"

namespace greengage {

/** What other threads may know of the control thread. */
struct ControlSnapshot {
  bool is_ready = false;
  bool is_store_available = false;
  bool has_released_all_slices = false;
  std::string status_json;  // an object
  std::string document_text;
};

/** Runs a Controller as a CAF actor on a scheduler with one thread: the control
    thread. All methods may be called from any thread. */
class ControlActor {
 public:
  struct Options {
    Controller::Options controller;
    ControllerHooks hooks;
    Steering* steering = nullptr;  // not owned
    Duration tick = std::chrono::milliseconds(100);
  };

  explicit ControlActor(Options options);
  ~ControlActor();
  ControlActor(const ControlActor&) = delete;
  ControlActor& operator=(const ControlActor&) = delete;

  //==============================================================================
  /** Queues a message. */
  void Send(ControlMessage message);

  /** Returns the state as of the last tick. */
  ControlSnapshot Snapshot() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace greengage

#endif  // GG_DAEMON_CONTROL_ACTOR_H_
