#include "gg_control/control_scheduler.h"

#include <caf/all.hpp>

namespace greengage {

caf::actor_system_config& ConfigureSingleThread(
    caf::actor_system_config* config) {
  config->set("scheduler.max-threads", 1);
  // The default policy, work stealing, polls for work even when there is none.
  config->set("scheduler.policy", caf::atom("sharing"));
  return *config;
}

}  // namespace greengage
