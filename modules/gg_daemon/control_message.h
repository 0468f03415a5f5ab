#ifndef GG_DAEMON_CONTROL_MESSAGE_H_
#define GG_DAEMON_CONTROL_MESSAGE_H_

#include <variant>
#include <vector>

#include "gg_steering/controller_hooks.h"
#include "gg_wire/frame_codec.h"

namespace greengage {

/** Values of shared keys as read from the store, in one batch. */
struct StoreValuesRead {
  std::vector<StoreValue> values;
};

/** The store answers again, or has stopped to. */
struct StoreAvailability {
  bool is_available = false;
};

/** The daemon is to leave: stage one, no look-up names it any more. */
struct DrainRequest {};

/** The daemon takes no new work any more: give its slices up. */
struct ReleaseSlicesRequest {};

/** Message to the control actor. */
using ControlMessage =
    std::variant<PeerFrame, StoreValuesRead, StoreAvailability, DrainRequest,
                 ReleaseSlicesRequest>;

}  // namespace greengage

#endif  // GG_DAEMON_CONTROL_MESSAGE_H_
