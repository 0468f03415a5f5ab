#include <iostream>

#include "gg_daemon/daemon.h"
#include "gg_daemon/settings.h"
#include "gg_insight/event_log.h"

int main(int argc, char** argv) {
  const greengage::SettingsResult result = greengage::ParseSettings(argc, argv);
  if (result.should_exit) return result.exit_code;
  greengage::InitLogging(*greengage::ParseLogLevel(result.settings.log_level),
                         "greengaged");
  greengage::Daemon daemon(result.settings);
  const absl::Status status = daemon.Run();
  if (status.ok()) return 0;
  std::cerr << "greengaged: " << status.message() << "\n";
  return 1;
}
