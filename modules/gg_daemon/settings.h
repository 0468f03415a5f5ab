#ifndef GG_DAEMON_SETTINGS_H_
#define GG_DAEMON_SETTINGS_H_

#include <string>
#include <vector>

#include "absl/status/status.h"
#include "gg_core/event.h"

namespace greengage {

/** Everything a daemon is told from outside. */
struct Settings {
  std::string deployment;
  std::string region;
  std::string zone;
  std::string listen;  // traffic, "ip:port"
  std::string peer;    // other daemons
  std::string admin;   // operators
  std::vector<std::string> seeds;
  std::vector<std::string> store;
  int threads = 1;
  int host_gone_seconds = 120;
  std::string log_level = "info";
  bool is_check_only = false;
};

/** What ParseSettings() found. */
struct SettingsResult {
  Settings settings;
  /** Set when the program should end at once with this exit code. */
  bool should_exit = false;
  int exit_code = 0;
};

/** Reads settings from flags and GREENGAGE_ environment variables and checks
    them all. Help, version and errors are printed; an error gives exit code 2.
 */
SettingsResult ParseSettings(int argc, const char* const* argv);

/** Returns the first thing wrong with `settings`, with the remedy. */
absl::Status CheckSettings(const Settings& settings);

}  // namespace greengage

#endif  // GG_DAEMON_SETTINGS_H_
