#include "gg_ctl/ctl_app.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"
#include "gg_core/hash.h"
#include "gg_ctl/document_editor.h"
#include "gg_ctl/http_get.h"
#include "gg_ctl/log_line.h"
#include "gg_ctl/request_history.h"
#include "gg_ctl/target_edit.h"
#include "gg_document/document_parser.h"
#include "gg_document/section_text.h"
#include "gg_store/store_client.h"

namespace greengage {
namespace {

using nlohmann::json;

constexpr Duration kDaemonTimeout = std::chrono::seconds(2);

/** Parsed command-line arguments. */
struct CtlOptions {
  std::string deployment;
  std::vector<std::string> store;
  std::vector<std::string> daemons;
  std::string who;
  std::string reason;
  std::string file;
  std::string base_file;
  std::string section;
  std::string target;
  std::string service;
  std::string client;
  std::vector<std::string> logs;
  std::string request;
  std::string event;
  std::string from;
  std::string until;
  bool as_json = false;
};

std::string CurrentUtcTime() {
  const std::time_t now = std::time(nullptr);
  std::tm utc{};
  gmtime_r(&now, &utc);
  std::ostringstream text;
  text << std::put_time(&utc, "%Y-%m-%dT%H:%M:%SZ");
  return text.str();
}

std::string GenerateEditId() {
  std::random_device device;
  const uint64_t random = (static_cast<uint64_t>(device()) << 32U) | device();
  return absl::StrCat(absl::Hex(std::time(nullptr), absl::kZeroPad10), "-",
                      absl::Hex(random, absl::kZeroPad16));
}

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return StepError(absl::StatusCode::kInvalidArgument, Step::kSettings, path,
                     "cannot read the file");
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

/** Runs the coroutine that `start` returns for a new store client, and blocks
    until it has finished. */
template <typename Result, typename Start>
Result RunBlocking(const std::vector<std::string>& addresses, Start start) {
  asio::io_context context{1};
  StoreClient client(&context, {.addresses = addresses});
  std::optional<Result> result;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> { result = co_await start(&client); },
      asio::detached);
  context.run();
  return *std::move(result);
}

EditorStore MakeStore(const std::vector<std::string>& addresses) {
  using Read = absl::StatusOr<StoreReadResult>;
  using Swapped = absl::StatusOr<StoreCompareAndSwapResult>;
  EditorStore store;
  store.get = [addresses](const std::string& key) {
    return RunBlocking<Read>(
        addresses, [&](StoreClient* client) { return client->Get(key); });
  };
  store.get_prefix = [addresses](const std::string& prefix) {
    return RunBlocking<Read>(addresses, [&](StoreClient* client) {
      return client->GetPrefix(prefix);
    });
  };
  store.swap = [addresses](const StoreCompareAndSwap& swap) {
    return RunBlocking<Swapped>(addresses, [&](StoreClient* client) {
      return client->CompareAndSwap(swap);
    });
  };
  return store;
}

DocumentEditor MakeEditor(const CtlOptions& options) {
  return DocumentEditor({.deployment = options.deployment,
                         .store = MakeStore(options.store),
                         .generate_edit_id = GenerateEditId,
                         .current_time = CurrentUtcTime});
}

/** Prints the message of `status` and returns the matching exit code. */
CtlExitCode PrintError(const absl::Status& status) {
  std::cerr << "greengagectl: " << status.message() << "\n";
  switch (status.code()) {
    case absl::StatusCode::kInvalidArgument:
    case absl::StatusCode::kNotFound:
      return CtlExitCode::kInvalid;
    case absl::StatusCode::kAborted:
    case absl::StatusCode::kAlreadyExists:
      return CtlExitCode::kConflict;
    case absl::StatusCode::kUnknown:
      return CtlExitCode::kUnknown;
    case absl::StatusCode::kUnavailable:
      return CtlExitCode::kUnreachable;
    default:
      return CtlExitCode::kFailed;
  }
}

json AuditEntryToJson(const AuditEntry& entry) {
  return {{"edit", entry.edit_id},
          {"who", entry.who},
          {"section", entry.section},
          {"reason", entry.reason},
          {"time", entry.time},
          {"revision", entry.revision},
          {"diff", LineDiff(entry.old_text, entry.new_text)}};
}

CtlExitCode PrintEditResult(const CtlOptions& options,
                            const absl::StatusOr<AuditEntry>& entry) {
  if (!entry.ok()) return PrintError(entry.status());
  if (options.as_json) {
    std::cout << AuditEntryToJson(*entry).dump() << "\n";
  } else {
    std::cout << "accepted: section " << entry->section << ", revision "
              << entry->revision << ", edit " << entry->edit_id << "\n";
  }
  return CtlExitCode::kOk;
}

/** Reads the log lines of daemons from files. Skips truncated lines and lines
    of other programs, and prints their number to standard error. */
absl::StatusOr<std::vector<LogLine>> ReadLogs(
    const std::vector<std::string>& files) {
  std::vector<LogLine> lines;
  size_t skipped = 0;
  for (const std::string& file : files) {
    const absl::StatusOr<std::string> text = ReadFile(file);
    if (!text.ok()) return text.status();
    std::istringstream stream(*text);
    for (std::string line; std::getline(stream, line);) {
      auto parsed = ParseLogLine(line, file);
      if (parsed) {
        lines.push_back(*std::move(parsed));
      } else {
        ++skipped;
      }
    }
  }
  if (skipped > 0) {
    std::cerr << "greengagectl: " << skipped
              << " lines skipped: truncated, or not written by a daemon\n";
  }
  return lines;
}

CtlExitCode ShowRequestHistory(const CtlOptions& options) {
  auto lines = ReadLogs(options.logs);
  if (!lines.ok()) return PrintError(lines.status());
  const auto history = FindRequest(*std::move(lines), options.request);
  if (!history.ok()) return PrintError(history.status());
  std::cout << FormatRequestHistory(*history);
  return CtlExitCode::kOk;
}

CtlExitCode ListEvents(const CtlOptions& options) {
  auto lines = ReadLogs(options.logs);
  if (!lines.ok()) return PrintError(lines.status());
  std::stable_sort(
      lines->begin(), lines->end(),
      [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  for (const LogLine& line : *lines) {
    const bool matches_event = options.event.empty() ||
                               line.event == options.event ||
                               line.name == options.event;
    const bool matches_time =
        (options.from.empty() || line.time >= options.from) &&
        (options.until.empty() || line.time < options.until);
    if (matches_event && matches_time) {
      std::cout << line.source << "  " << line.text << "\n";
    }
  }
  return CtlExitCode::kOk;
}

CtlExitCode CheckDocument(const CtlOptions& options) {
  const absl::StatusOr<std::string> text = ReadFile(options.file);
  if (!text.ok()) return PrintError(text.status());
  const absl::StatusOr<DocumentPtr> document = ParseDocument(*text);
  if (!document.ok()) return PrintError(document.status());
  std::cout << "ok: deployment " << (*document)->deployment << ", "
            << (*document)->regions.size() << " regions, "
            << (*document)->services.size() << " services\n";
  return CtlExitCode::kOk;
}

CtlExitCode CreateDocument(const CtlOptions& options) {
  const absl::StatusOr<std::string> text = ReadFile(options.file);
  if (!text.ok()) return PrintError(text.status());
  return PrintEditResult(options,
                         MakeEditor(options).Create(*text, options.who));
}

CtlExitCode ShowDocument(const CtlOptions& options) {
  const absl::StatusOr<StoredDocument> document = MakeEditor(options).Read();
  if (!document.ok()) return PrintError(document.status());
  std::string text = document->text;
  if (!options.section.empty()) {
    const std::vector<SectionText> sections = SplitSections(text);
    const SectionText* section = FindSection(sections, options.section);
    if (section == nullptr) {
      return PrintError(StepError(absl::StatusCode::kNotFound, Step::kStoreCall,
                                  options.section, "no such section"));
    }
    text = section->text;
  }
  if (options.as_json) {
    std::cout << json{{"revision", document->revision}, {"text", text}}.dump()
              << "\n";
  } else {
    std::cout << text;
  }
  return CtlExitCode::kOk;
}

CtlExitCode ApplySection(const CtlOptions& options) {
  const absl::StatusOr<std::string> text = ReadFile(options.file);
  if (!text.ok()) return PrintError(text.status());
  SectionEdit edit{.section = options.section,
                   .text = *text,
                   .who = options.who,
                   .reason = options.reason};
  if (!options.base_file.empty()) {
    const absl::StatusOr<std::string> base = ReadFile(options.base_file);
    if (!base.ok()) return PrintError(base.status());
    edit.base = *base;
  }
  return PrintEditResult(options, MakeEditor(options).Apply(edit));
}

CtlExitCode DiffSection(const CtlOptions& options) {
  const absl::StatusOr<std::string> text = ReadFile(options.file);
  if (!text.ok()) return PrintError(text.status());
  const absl::StatusOr<StoredDocument> document = MakeEditor(options).Read();
  if (!document.ok()) return PrintError(document.status());
  const std::vector<SectionText> sections = SplitSections(document->text);
  const SectionText* section = FindSection(sections, options.section);
  std::cout << LineDiff(section == nullptr ? "" : section->text, *text);
  return CtlExitCode::kOk;
}

CtlExitCode SetTargetLeavingFlag(const CtlOptions& options, bool is_leaving) {
  const DocumentEditor editor = MakeEditor(options);
  const absl::StatusOr<StoredDocument> document = editor.Read();
  if (!document.ok()) return PrintError(document.status());
  const std::vector<SectionText> sections = SplitSections(document->text);
  const SectionText* section = FindSection(sections, options.service);
  if (section == nullptr) {
    return PrintError(StepError(absl::StatusCode::kNotFound,
                                Step::kDocumentCheck, options.service,
                                "no such section"));
  }
  const absl::StatusOr<std::string> text = SetTargetLeaving(
      section->text, options.service, options.target, is_leaving);
  if (!text.ok()) return PrintError(text.status());
  const SectionEdit edit{.section = options.service,
                         .text = *text,
                         .who = options.who,
                         .reason = options.reason,
                         .base = section->text};
  return PrintEditResult(options, editor.Apply(edit));
}

CtlExitCode ListAuditEntries(const CtlOptions& options) {
  const absl::StatusOr<std::vector<AuditEntry>> entries =
      MakeEditor(options).ReadAuditTrail();
  if (!entries.ok()) return PrintError(entries.status());
  for (const AuditEntry& entry : *entries) {
    const bool is_wanted =
        options.section.empty() || entry.section == options.section;
    if (!is_wanted) continue;
    if (options.as_json) {
      std::cout << AuditEntryToJson(entry).dump() << "\n";
      continue;
    }
    std::cout << entry.time << "  revision " << entry.revision << "  "
              << entry.section << "  by " << entry.who << "  edit "
              << entry.edit_id << "\n    " << entry.reason << "\n";
  }
  return CtlExitCode::kOk;
}

CtlExitCode ShowDaemonStatus(const CtlOptions& options) {
  CtlExitCode exit_code = CtlExitCode::kOk;
  if (!options.as_json) {
    std::cout << std::left << std::setw(22) << "daemon" << std::setw(10)
              << "zone" << std::setw(9) << "state" << std::setw(7) << "ready"
              << std::setw(7) << "store" << std::setw(10) << "revision"
              << std::setw(9) << "members"
              << "slices\n";
  }
  for (const std::string& daemon : options.daemons) {
    const absl::StatusOr<std::string> text =
        HttpGet(daemon, "/.greengage/status", kDaemonTimeout);
    const json status = text.ok() ? json::parse(*text, nullptr, false) : json();
    if (!status.is_object() || !status.contains("self")) {
      std::cout << std::setw(22) << daemon
                << "no response: " << text.status().message() << "\n";
      exit_code = CtlExitCode::kUnreachable;
      continue;
    }
    if (options.as_json) {
      std::cout << status.dump() << "\n";
      continue;
    }
    const json& self = status["self"];
    std::cout << std::setw(22) << daemon << std::setw(10)
              << self.value("zone", "") << std::setw(9)
              << self.value("state", "") << std::setw(7)
              << (status.value("ready", false) ? "yes" : "no") << std::setw(7)
              << (status.value("store_available", false) ? "up" : "down")
              << std::setw(10) << status.value("document_revision", 0)
              << std::setw(9) << status["members"].size()
              << status.value("slices_owned", 0) << "\n";
  }
  return exit_code;
}

CtlExitCode ExplainRouting(const CtlOptions& options) {
  const std::string path =
      absl::StrCat("/.greengage/explain?service=", options.service,
                   "&client=", options.client);
  for (const std::string& daemon : options.daemons) {
    const absl::StatusOr<std::string> text =
        HttpGet(daemon, path, kDaemonTimeout);
    if (!text.ok()) return PrintError(text.status());
    const json response = json::parse(*text, nullptr, false);
    if (options.as_json || !response.is_object()) {
      std::cout << *text << "\n";
      continue;
    }
    std::cout << "client " << options.client << " is closest to region "
              << response.value("home_region", "?")
              << "\nentry hosts, best first: " << response["entry_hosts"].dump()
              << "\nsplit in the document: "
              << response["document_split"].dump()
              << "\nsplit in force here:   "
              << response.value("split_in_force", json::object()).dump()
              << "\n";
    for (const auto& [region, usage] : response["regions"].items()) {
      std::cout << "region " << region << ": " << usage.dump() << "\n";
    }
  }
  return CtlExitCode::kOk;
}

/** Adds the options that all editing commands share. */
void AddEditOptions(CLI::App* command, CtlOptions* options) {
  command->add_option("--who", options->who, "Your name, for the audit trail")
      ->required()
      ->envname("GREENGAGE_WHO");
  command
      ->add_option("--reason", options->reason, "Reason, for the audit trail")
      ->required();
}

using Command = std::function<CtlExitCode()>;

/** Adds all commands. Parsing stores the one that was given in `selected`. */
void AddCommands(CLI::App* app, CtlOptions* options, Command* selected) {
  const auto add = [&](const char* name, const char* help, Command run) {
    CLI::App* command = app->add_subcommand(name, help);
    command->callback([selected, run = std::move(run)] { *selected = run; });
    return command;
  };
  CLI::App* check = add("check", "Check a document in a file",
                        [=] { return CheckDocument(*options); });
  check->add_option("file", options->file)->required();
  CLI::App* init = add("init", "Write the first document",
                       [=] { return CreateDocument(*options); });
  init->add_option("file", options->file)->required();
  init->add_option("--who", options->who)->required()->envname("GREENGAGE_WHO");
  CLI::App* show = add("show", "Show the document or one section",
                       [=] { return ShowDocument(*options); });
  show->add_option("section", options->section);
  CLI::App* apply = add("apply", "Replace one section by a file",
                        [=] { return ApplySection(*options); });
  apply->add_option("section", options->section)->required();
  apply->add_option("file", options->file)->required();
  apply->add_option("--base", options->base_file,
                    "Text of the section that the edit is based on");
  AddEditOptions(apply, options);
  CLI::App* diff = add("diff", "Compare one section with a file",
                       [=] { return DiffSection(*options); });
  diff->add_option("section", options->section)->required();
  diff->add_option("file", options->file)->required();
  for (const bool is_leaving : {true, false}) {
    CLI::App* command =
        add(is_leaving ? "drain" : "undrain",
            is_leaving ? "Mark a target as leaving"
                       : "Cancel the drain of a target",
            [=] { return SetTargetLeavingFlag(*options, is_leaving); });
    command->add_option("service", options->service)->required();
    command->add_option("target", options->target)->required();
    AddEditOptions(command, options);
  }
  CLI::App* audit = add("audit", "List accepted edits",
                        [=] { return ListAuditEntries(*options); });
  audit->add_option("section", options->section);
  CLI::App* status = add("status", "Show the state of daemons",
                         [=] { return ShowDaemonStatus(*options); });
  CLI::App* explain =
      add("explain", "Show how and why a client's requests are routed",
          [=] { return ExplainRouting(*options); });
  explain->add_option("service", options->service)->required();
  explain->add_option("client", options->client)->required();
  CLI::App* request =
      add("request", "Show the history of a request from log files",
          [=] { return ShowRequestHistory(*options); });
  request->add_option("id", options->request)->required();
  CLI::App* events = add("events", "List events from log files",
                         [=] { return ListEvents(*options); });
  events->add_option("--event", options->event, "Number (E610) or name");
  events->add_option("--from", options->from,
                     "Earliest time, in the format of the log lines");
  events->add_option("--until", options->until,
                     "Latest time, exclusive, in the same format");
  for (CLI::App* command : {request, events}) {
    command->add_option("logs", options->logs, "Log files")->required();
  }
  for (CLI::App* command : {status, explain}) {
    command
        ->add_option("--daemons", options->daemons,
                     "Admin addresses of daemons, comma-separated")
        ->delimiter(',')
        ->required()
        ->envname("GREENGAGE_DAEMONS");
  }
}

}  // namespace

int RunCtl(int argc, const char* const* argv) {
  CtlOptions options;
  Command selected;
  CLI::App app("greengagectl: reads and edits the traffic-steering document");
  app.set_version_flag("--version", "greengagectl " GREENGAGE_VERSION);
  app.require_subcommand(1);
  app.fallthrough();
  app.add_option("--deployment", options.deployment)
      ->envname("GREENGAGE_DEPLOYMENT");
  app.add_option("--store", options.store,
                 "Addresses of the key-value service, comma-separated")
      ->delimiter(',')
      ->envname("GREENGAGE_STORE");
  app.add_flag("--json", options.as_json, "Write JSON, one object per line");
  AddCommands(&app, &options, &selected);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error, std::cout, std::cerr);
    return code == 0 ? 0 : static_cast<int>(CtlExitCode::kInvalid);
  }
  return static_cast<int>(selected());
}

}  // namespace greengage
