#ifndef GG_STEERING_CONTROLLER_HOOKS_H_
#define GG_STEERING_CONTROLLER_HOOKS_H_

#include <cstdint>
#include <functional>
#include <string>

#include "gg_core/event.h"
#include "gg_steering/peer_message.h"

namespace greengage {

/** One compare-and-swap on the platform's store. */
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

/** What the control logic does to the outside. All hooks must be set. They are
    called on the thread that calls the Controller and must not call it back. */
struct ControllerHooks {
  /** Sends a message to the daemon at a peer address; it may be lost. */
  std::function<void(const std::string& address, const PeerMessage& message)>
      send;
  /** Starts a compare-and-swap; the result arrives by OnStoreValue(). */
  std::function<void(const StoreWrite& write)> write_store;
  /** Starts or ends watching the shared keys. */
  std::function<void(bool is_watching)> set_watching;
  /** Logs one event. */
  std::function<void(LogLevel level, Event event, const std::string& text)> log;
};

}  // namespace greengage

#endif  // GG_STEERING_CONTROLLER_HOOKS_H_
