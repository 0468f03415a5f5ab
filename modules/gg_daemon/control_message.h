#ifndef GG_DAEMON_CONTROL_MESSAGE_H_
#define GG_DAEMON_CONTROL_MESSAGE_H_

#include <variant>
#include <vector>

#include "gg_steering/controller_hooks.h"
#include "gg_wire/frame_codec.h"

namespace greengage {

/** Values of shared keys that were read from the store together. */
struct StoreValuesRead {
  std::vector<StoreValue> values;
};

/** Sent when the store becomes reachable or unreachable. */
struct StoreAvailability {
  bool is_available = false;
};

/** First stage of a stop: look-up responses no longer name this host. */
struct DrainRequest {};

/** Second stage of a stop: the daemon accepts no new requests and releases its
    slices. */
struct ReleaseSlicesRequest {};

/** Message to the ControlActor. */
using ControlMessage =
    std::variant<PeerFrame, StoreValuesRead, StoreAvailability, DrainRequest,
                 ReleaseSlicesRequest>;

}  // namespace greengage

#endif  // GG_DAEMON_CONTROL_MESSAGE_H_
