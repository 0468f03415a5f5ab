#include "gg_daemon/settings.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <set>

#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"
#include "gg_store/asio.h"

namespace greengage {
namespace {

constexpr int kUsageErrorExitCode = 2;
constexpr int kMaxThreads = 64;
constexpr int kMaxHostGoneSeconds = 86400;
constexpr int kMinMemoryMb = 48;
constexpr int kMaxMemoryMb = 1024 * 1024;
constexpr int kMinDescriptors = 256;
constexpr int kMaxDescriptors = 1000 * 1000;

void AddOptions(CLI::App* app, Settings* settings) {
  app->add_option("--deployment", settings->deployment,
                  "Name of the deployment, as in the document")
      ->envname("GREENGAGE_DEPLOYMENT");
  app->add_option("--region", settings->region, "Region of this host")
      ->envname("GREENGAGE_REGION");
  app->add_option("--zone", settings->zone, "Availability zone of this host")
      ->envname("GREENGAGE_ZONE");
  app->add_option("--listen", settings->listen, "Address for callers, ip:port")
      ->envname("GREENGAGE_LISTEN");
  app->add_option("--peer", settings->peer,
                  "Address for other daemons, ip:port")
      ->envname("GREENGAGE_PEER");
  app->add_option("--admin", settings->admin, "Address for operators, ip:port")
      ->envname("GREENGAGE_ADMIN");
  app->add_option("--seeds", settings->seeds,
                  "Peer addresses of some other daemons, comma-separated")
      ->delimiter(',')
      ->envname("GREENGAGE_SEEDS");
  app->add_option("--store", settings->store,
                  "Addresses of the key-value service, comma-separated")
      ->delimiter(',')
      ->envname("GREENGAGE_STORE");
  app->add_option("--threads", settings->threads,
                  "Number of threads that serve callers")
      ->capture_default_str()
      ->envname("GREENGAGE_THREADS");
  app->add_option(
         "--host-gone-seconds", settings->host_gone_seconds,
         "Seconds that a host must be missing from the platform's list "
         "before its capacity is reassigned to other hosts")
      ->capture_default_str()
      ->envname("GREENGAGE_HOST_GONE_SECONDS");
  app->add_option("--memory-mb", settings->memory_mb,
                  "Memory for this process in MB; bounds what is held for "
                  "callers")
      ->capture_default_str()
      ->envname("GREENGAGE_MEMORY_MB");
  app->add_option("--max-descriptors", settings->max_descriptors,
                  "File descriptors for this process; 0: the system's limit")
      ->capture_default_str()
      ->envname("GREENGAGE_MAX_DESCRIPTORS");
  app->add_option("--log-level", settings->log_level,
                  "debug, info, warning or error")
      ->capture_default_str()
      ->envname("GREENGAGE_LOG_LEVEL");
  app->add_flag("--check-settings", settings->is_check_only,
                "Check the settings and exit");
}

absl::Status SettingError(std::string_view flag, std::string_view problem) {
  return StepError(absl::StatusCode::kInvalidArgument, Step::kSettings, flag,
                   problem);
}

absl::Status CheckAddress(std::string_view flag, const std::string& value) {
  if (ParseEndpoint(value)) return absl::OkStatus();
  return SettingError(
      flag,
      absl::StrCat("'", value, "' is not a valid address; must be ip:port"));
}

absl::Status CheckAddresses(std::string_view flag,
                            const std::vector<std::string>& values) {
  for (const std::string& value : values) {
    const absl::Status status = CheckAddress(flag, value);
    if (!status.ok()) return status;
  }
  return absl::OkStatus();
}

}  // namespace

SettingsResult ParseSettings(int argc, const char* const* argv) {
  SettingsResult result;
  CLI::App app(
      "greengaged: answers which entry host to use and forwards requests to "
      "targets");
  app.set_version_flag("--version", "greengaged " GREENGAGE_VERSION);
  AddOptions(&app, &result.settings);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    result.should_exit = true;
    result.exit_code =
        app.exit(error, std::cout, std::cerr) == 0 ? 0 : kUsageErrorExitCode;
    return result;
  }
  const absl::Status status = CheckSettings(result.settings);
  if (!status.ok()) {
    std::cerr << "greengaged: " << status.message() << "\n";
    result.should_exit = true;
    result.exit_code = kUsageErrorExitCode;
  } else if (result.settings.is_check_only) {
    std::cout << "settings ok\n";
    result.should_exit = true;
  }
  return result;
}

absl::Status CheckSettings(const Settings& settings) {
  const std::pair<std::string_view, const std::string*> required[] = {
      {"--deployment", &settings.deployment},
      {"--region", &settings.region},
      {"--zone", &settings.zone}};
  for (const auto& [flag, value] : required) {
    if (value->empty()) {
      return SettingError(flag, "value is missing; must be a non-empty name");
    }
  }
  const std::pair<std::string_view, const std::string*> addresses[] = {
      {"--listen", &settings.listen},
      {"--peer", &settings.peer},
      {"--admin", &settings.admin}};
  std::set<std::string> seen;
  for (const auto& [flag, value] : addresses) {
    const absl::Status status = CheckAddress(flag, *value);
    if (!status.ok()) return status;
    if (!seen.insert(*value).second) {
      return SettingError(
          flag,
          absl::StrCat(
              "'", *value,
              "' is already the address of another flag; must be unique"));
    }
  }
  absl::Status status = CheckAddresses("--seeds", settings.seeds);
  if (status.ok()) status = CheckAddresses("--store", settings.store);
  if (!status.ok()) return status;
  if (settings.store.empty()) {
    return SettingError("--store",
                        "value is missing; must be at least one address");
  }
  if (settings.threads < 1 || settings.threads > kMaxThreads) {
    return SettingError("--threads", "must be a number from 1 to 64");
  }
  if (settings.host_gone_seconds < 1 ||
      settings.host_gone_seconds > kMaxHostGoneSeconds) {
    return SettingError("--host-gone-seconds",
                        "must be a number from 1 to 86400");
  }
  if (settings.memory_mb < kMinMemoryMb || settings.memory_mb > kMaxMemoryMb) {
    return SettingError("--memory-mb", "must be a number from 48 to 1048576");
  }
  if (settings.max_descriptors != 0 &&
      (settings.max_descriptors < kMinDescriptors ||
       settings.max_descriptors > kMaxDescriptors)) {
    return SettingError("--max-descriptors",
                        "must be 0 or a number from 256 to 1000000");
  }
  if (!ParseLogLevel(settings.log_level)) {
    return SettingError("--log-level", "must be debug, info, warning or error");
  }
  return absl::OkStatus();
}

}  // namespace greengage
