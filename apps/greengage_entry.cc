#include <CLI/CLI.hpp>
#include <iostream>

#include "gg_entry/gg_entry.h"
#include "gg_insight/event_log.h"
#include "platform/entry_platform_adapter.h"

namespace {

/** Log lines per second: about four times the peak number of requests per
    second of one host. */
constexpr uint64_t kDefaultLogLinesPerSecond = 400;

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("greengage_entry: daemon of an entry host on the platform");
  std::string settings_path;
  std::string log_level = "info";
  uint64_t log_lines = kDefaultLogLinesPerSecond;
  bool check_settings_only = false;
  app.add_option("--settings", settings_path, "path of the settings file")
      ->envname("GREENGAGERAIL_SETTINGS")
      ->required();
  app.add_option("--log-level", log_level, "debug, info, warning or error")
      ->envname("GREENGAGE_LOG_LEVEL")
      ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
  app.add_option("--log-lines", log_lines,
                 "maximum number of log lines per second; 0: unlimited")
      ->envname("GREENGAGE_LOG_LINES");
  greengage::EntryDaemon::Options options;
  app.add_option(
         "--relay-above", options.relay_above,
         "number of daemons above which one daemon of each availability "
         "zone watches the store and relays its changes to the others")
      ->envname("GREENGAGE_RELAY_ABOVE");
  app.add_flag("--check-settings", check_settings_only,
               "check the settings and exit");
  CLI11_PARSE(app, argc, argv);

  greengage::EntryPlatform platform =
      greengage::platform::MakeEntryPlatform(settings_path);
  auto settings = platform.read_settings();
  if (!settings.ok()) {
    std::cerr << "greengage_entry: " << settings.status().message() << "\n";
    return 2;
  }
  if (check_settings_only) return 0;
  greengage::InitBoundedLogging(*greengage::ParseLogLevel(log_level),
                                "greengage_entry", log_lines);
  greengage::EntryDaemon daemon(*std::move(settings), std::move(platform),
                                options);
  const absl::Status status = daemon.Run();
  greengage::StopBoundedLogging();
  if (status.ok()) return 0;
  std::cerr << "greengage_entry: " << status.message() << "\n";
  return 1;
}
