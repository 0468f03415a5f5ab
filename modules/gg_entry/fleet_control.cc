#include "gg_entry/fleet_control.h"

#include <caf/all.hpp>

#include "gg_control/control_scheduler.h"
#include "gg_core/system_inputs.h"

namespace greengage {

/** The message that carries events to the control thread. */
struct FleetEventBatch {
  std::vector<FleetEvent> events;
};

}  // namespace greengage

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(greengage::FleetEventBatch)

namespace greengage {
namespace {

using TickAtom = caf::atom_constant<caf::atom("tick")>;
using StopAtom = caf::atom_constant<caf::atom("stop")>;

TimePoint Now() { return std::chrono::steady_clock::now(); }

uint64_t WallMilliseconds() { return WallMicroseconds() / 1000; }

}  // namespace

struct FleetControl::State {
  explicit State(Options control_options)
      : tick_interval(control_options.tick_interval),
        fleet(std::move(control_options.fleet),
              std::move(control_options.hooks)),
        system(ConfigureSingleThread(&config)) {}

  caf::behavior MakeBehavior(caf::event_based_actor* self) {
    self->send(self, TickAtom::value);
    return {[this, self](TickAtom) {
              fleet.Tick(Now());
              self->delayed_send(self, tick_interval, TickAtom::value);
            },
            [this](const FleetEventBatch& batch) { Apply(batch.events); },
            [self](StopAtom) { self->quit(); }};
  }

  void Apply(const std::vector<FleetEvent>& events) {
    bool has_only_heartbeats = true;
    for (const FleetEvent& event : events) {
      fleet.Apply(event, Now(), WallMilliseconds());
      has_only_heartbeats &= std::holds_alternative<HeartbeatsReceived>(event);
    }
    // Changes of targets take effect at once; heartbeats are evaluated at the
    // next tick.
    if (!has_only_heartbeats) fleet.Tick(Now());
  }

  const Duration tick_interval;
  FleetState fleet;  // control thread only
  caf::actor_system_config config;
  caf::actor_system system;
  caf::actor actor;
};

FleetControl::FleetControl(Options options)
    : state_(std::make_unique<State>(std::move(options))) {
  State* state = state_.get();
  state->actor = state->system.spawn([state](caf::event_based_actor* self) {
    return state->MakeBehavior(self);
  });
}

FleetControl::~FleetControl() {
  caf::anon_send(state_->actor, StopAtom::value);
  state_->system.await_all_actors_done();
}

void FleetControl::Send(std::vector<FleetEvent> events) {
  caf::anon_send(state_->actor, FleetEventBatch{std::move(events)});
}

}  // namespace greengage
