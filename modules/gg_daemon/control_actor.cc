#include "gg_daemon/control_actor.h"

#include <caf/all.hpp>
#include <mutex>
#include <nlohmann/json.hpp>

#include "gg_control/control_scheduler.h"

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(greengage::ControlMessage)

namespace greengage {
namespace {

using TickAtom = caf::atom_constant<caf::atom("tick")>;
using StopAtom = caf::atom_constant<caf::atom("stop")>;
using nlohmann::json;

TimePoint Now() { return std::chrono::steady_clock::now(); }

/** Ticks between two updates of the snapshot's status and document texts. */
constexpr int kTicksPerStatusUpdate = 5;

json MemberToJson(const MemberRecord& member) {
  return {{"address", member.id.address},
          {"incarnation", member.id.incarnation},
          {"traffic", member.traffic_address},
          {"zone", member.zone},
          {"region", member.region},
          {"state", kMemberStateNames.Name(member.state)},
          {"version", member.version}};
}

/** Returns the object that the status page shows. */
json StatusToJson(const Controller& controller) {
  json members = json::array();
  for (const MemberRecord& member : controller.membership().Members()) {
    members.push_back(MemberToJson(member));
  }
  const MemberRecord& self = controller.membership().self();
  json unavailable_features = json::array();
  if (!controller.is_store_available()) {
    unavailable_features.push_back(
        "the store does not answer: no edits, no new steps of a shift, no "
        "change of capacity between hosts, no orders with a caller's own key");
  }
  if (controller.replica().document() == nullptr) {
    unavailable_features.push_back("no document yet");
  }
  return {{"self", MemberToJson(self)},
          {"ready", controller.IsReady()},
          {"store_available", controller.is_store_available()},
          {"document_revision", controller.replica().revision()},
          {"document_problem",
           std::string(controller.replica().last_error().message())},
          {"plan_revision", controller.plan().revision()},
          {"slices_revision", controller.slices().revision()},
          {"slices_owned", controller.slices().owned()},
          {"slices_total", controller.slices().table().owners.size()},
          {"members", members},
          {"waits", unavailable_features}};
}

/** Calls the controller method for each type of message. */
struct MessageVisitor {
  Controller* controller;
  TimePoint now;

  void operator()(const PeerFrame& frame) const {
    controller->OnPeerMessage(frame.from, frame.message, now);
  }
  void operator()(const StoreValuesRead& read) const {
    for (const StoreValue& value : read.values) {
      controller->OnStoreValue(value, now);
    }
  }
  void operator()(const StoreAvailability& store) const {
    controller->OnStoreAvailable(store.is_available, now);
  }
  void operator()(const DrainRequest& /*request*/) const {
    controller->StartDrain(now);
  }
  void operator()(const ReleaseSlicesRequest& /*request*/) const {
    controller->StartReleasingSlices();
  }
};

}  // namespace

struct ControlActor::State {
  explicit State(Options control_options)
      : options(std::move(control_options)),
        controller(options.controller, options.hooks, options.steering, Now()),
        system(ConfigureSingleThread(&config)) {}

  caf::behavior MakeBehavior(caf::event_based_actor* self) {
    self->send(self, TickAtom::value);
    return {[this, self](TickAtom) {
              controller.Tick(Now());
              Publish();
              self->delayed_send(self, options.tick, TickAtom::value);
            },
            [this](const ControlMessage& message) {
              std::visit(MessageVisitor{&controller, Now()}, message);
            },
            [self](StopAtom) { self->quit(); }};
  }

  void Publish() {
    const bool is_status_due = tick_count++ % kTicksPerStatusUpdate == 0;
    const std::lock_guard lock(mutex);
    snapshot.is_ready = controller.IsReady();
    snapshot.is_store_available = controller.is_store_available();
    snapshot.has_released_all_slices = controller.HasReleasedAllSlices();
    if (!is_status_due) return;
    snapshot.status_json = StatusToJson(controller).dump();
    if (controller.replica().revision() == document_revision) return;
    document_revision = controller.replica().revision();
    snapshot.document_text = controller.replica().Text();
  }

  Options options;
  Controller controller;  // used on the control thread only
  int tick_count = 0;
  uint64_t document_revision = 0;
  mutable std::mutex mutex;
  ControlSnapshot snapshot;
  caf::actor_system_config config;
  caf::actor_system system;
  caf::actor actor;
};

ControlActor::ControlActor(Options options)
    : state_(std::make_unique<State>(std::move(options))) {
  State* state = state_.get();
  state->actor = state->system.spawn([state](caf::event_based_actor* self) {
    return state->MakeBehavior(self);
  });
}

ControlActor::~ControlActor() {
  caf::anon_send(state_->actor, StopAtom::value);
  state_->system.await_all_actors_done();
}

void ControlActor::Send(ControlMessage message) {
  caf::anon_send(state_->actor, std::move(message));
}

ControlSnapshot ControlActor::Snapshot() const {
  const std::lock_guard lock(state_->mutex);
  return state_->snapshot;
}

}  // namespace greengage
