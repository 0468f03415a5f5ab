#ifndef GG_STEERING_CONTROLLER_HOOKS_H_
#define GG_STEERING_CONTROLLER_HOOKS_H_

#include <cstdint>
#include <functional>
#include <string>

#include "gg_core/event.h"
#include "gg_steering/peer_message.h"

namespace greengage {

/** Compare-and-swap of one key in the platform's store. */
struct StoreWrite {
  SharedKey key = SharedKey::kPlan;
  uint64_t expected_revision = 0;  // 0: the key must not exist
  std::string value;
};

/** Value of a shared key as read from the store. */
struct StoreValue {
  SharedKey key = SharedKey::kPlan;
  uint64_t revision = 0;  // 0: the key does not exist
  std::string text;
};

/** Functions by which the Controller acts on the outside. All of them must be
    set. They are called on the thread that calls the Controller, and they must
    not call the Controller. */
struct ControllerHooks {
  /** Sends a message to the daemon at a peer address. Delivery is not
      guaranteed. */
  std::function<void(const std::string& address, const PeerMessage& message)>
      send;
  /** Starts a compare-and-swap. The value that the store holds afterwards is
      passed to Controller::OnStoreValue(). */
  std::function<void(const StoreWrite& write)> write_store;
  /** Starts or stops watching the shared keys in the store. */
  std::function<void(bool is_watching)> set_watching;
  /** Logs one event. */
  std::function<void(LogLevel level, Event event, const std::string& text)> log;
};

}  // namespace greengage

#endif  // GG_STEERING_CONTROLLER_HOOKS_H_
