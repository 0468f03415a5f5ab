#ifndef GG_CONTROL_CONTROL_SCHEDULER_H_
#define GG_CONTROL_CONTROL_SCHEDULER_H_

namespace caf {
class actor_system_config;
}  // namespace caf

namespace greengage {

/** Configures a scheduler with one thread that does not poll when idle.
    @return `*config`. */
caf::actor_system_config& ConfigureSingleThread(
    caf::actor_system_config* config);

}  // namespace greengage

#endif  // GG_CONTROL_CONTROL_SCHEDULER_H_
