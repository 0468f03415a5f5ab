#ifndef GG_DAEMON_SETTINGS_H_
#define GG_DAEMON_SETTINGS_H_

#include <string>
#include <vector>

#include "absl/status/status.h"
#include "gg_core/event.h"

namespace greengage {

/** Settings of a daemon, from flags and environment variables. */
struct Settings {
  std::string deployment;
  std::string region;
  std::string zone;
  std::string listen;              // "ip:port" for callers
  std::string peer;                // "ip:port" for other daemons
  std::string admin;               // "ip:port" for operators
  std::vector<std::string> seeds;  // peer addresses of other daemons
  std::vector<std::string> store;  // "ip:port" of the key-value service
  int threads = 1;                 // that serve callers
  int host_gone_seconds = 120;
  int memory_mb = 1024;     // of the host, for this process
  int max_descriptors = 0;  // of this process; 0: the limit of the system
  std::string log_level = "info";
  bool is_check_only = false;  // exit after CheckSettings()
};

/** Result of ParseSettings(). */
struct SettingsResult {
  Settings settings;
  /** True when the program must exit at once with `exit_code`. */
  bool should_exit = false;
  int exit_code = 0;
};

/** Reads the settings from flags and GREENGAGE_ environment variables and
    checks them. Prints the help, the version or an error; after an error,
    `exit_code` is 2. */
SettingsResult ParseSettings(int argc, const char* const* argv);

/** Checks all settings.
    @return kInvalidArgument for the first invalid setting, with its flag and
            the values that it accepts. */
absl::Status CheckSettings(const Settings& settings);

}  // namespace greengage

#endif  // GG_DAEMON_SETTINGS_H_
