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

/** What the command line says. */
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

std::string TimeNow() {
  const std::time_t now = std::time(nullptr);
  std::tm utc{};
  gmtime_r(&now, &utc);
  std::ostringstream text;
  text << std::put_time(&utc, "%Y-%m-%dT%H:%M:%SZ");
  return text.str();
}

std::string NewEditId() {
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

/** Runs a coroutine to its end on a context of its own. */
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
                         .new_edit_id = NewEditId,
                         .time_now = TimeNow});
}

CtlExit Report(const absl::Status& status) {
  std::cerr << "greengagectl: " << status.message() << "\n";
  switch (status.code()) {
    case absl::StatusCode::kInvalidArgument:
    case absl::StatusCode::kNotFound:
      return CtlExit::kInvalid;
    case absl::StatusCode::kAborted:
    case absl::StatusCode::kAlreadyExists:
      return CtlExit::kConflict;
    case absl::StatusCode::kUnknown:
      return CtlExit::kUnknown;
    case absl::StatusCode::kUnavailable:
      return CtlExit::kUnreachable;
    default:
      return CtlExit::kFailed;
  }
}

json EntryJson(const AuditEntry& entry) {
  return {{"edit", entry.edit_id},
          {"who", entry.who},
          {"section", entry.section},
          {"reason", entry.reason},
          {"time", entry.time},
          {"revision", entry.revision},
          {"diff", LineDiff(entry.old_text, entry.new_text)}};
}

CtlExit ReportEdit(const CtlOptions& options,
                   const absl::StatusOr<AuditEntry>& entry) {
  if (!entry.ok()) return Report(entry.status());
  if (options.as_json) {
    std::cout << EntryJson(*entry).dump() << "\n";
  } else {
    std::cout << "accepted: section " << entry->section << ", revision "
              << entry->revision << ", edit " << entry->edit_id << "\n";
  }
  return CtlExit::kOk;
}

/** Reads the daemons' lines out of log files. Lines that are torn or of other
    programs are left out and counted on standard error. */
absl::StatusOr<std::vector<LogLine>> ReadLogs(
    const std::vector<std::string>& files) {
  std::vector<LogLine> lines;
  size_t foreign = 0;
  for (const std::string& file : files) {
    const absl::StatusOr<std::string> text = ReadFile(file);
    if (!text.ok()) return text.status();
    std::istringstream stream(*text);
    for (std::string line; std::getline(stream, line);) {
      auto parsed = ParseLogLine(line, file);
      if (parsed) {
        lines.push_back(*std::move(parsed));
      } else {
        ++foreign;
      }
    }
  }
  if (foreign > 0) {
    std::cerr << "greengagectl: " << foreign
              << " lines are torn or not a daemon's; left out\n";
  }
  return lines;
}

CtlExit Request(const CtlOptions& options) {
  auto lines = ReadLogs(options.logs);
  if (!lines.ok()) return Report(lines.status());
  const auto history = FindRequest(*std::move(lines), options.request);
  if (!history.ok()) return Report(history.status());
  std::cout << Describe(*history);
  return CtlExit::kOk;
}

CtlExit Events(const CtlOptions& options) {
  auto lines = ReadLogs(options.logs);
  if (!lines.ok()) return Report(lines.status());
  std::stable_sort(
      lines->begin(), lines->end(),
      [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  for (const LogLine& line : *lines) {
    const bool is_of_kind = options.event.empty() ||
                            line.event == options.event ||
                            line.name == options.event;
    const bool is_in_time =
        (options.from.empty() || line.time >= options.from) &&
        (options.until.empty() || line.time < options.until);
    if (is_of_kind && is_in_time) {
      std::cout << line.source << "  " << line.text << "\n";
    }
  }
  return CtlExit::kOk;
}

CtlExit Check(const CtlOptions& options) {
  const absl::StatusOr<std::string> text = ReadFile(options.file);
  if (!text.ok()) return Report(text.status());
  const absl::StatusOr<DocumentPtr> document = ParseDocument(*text);
  if (!document.ok()) return Report(document.status());
  std::cout << "ok: deployment " << (*document)->deployment << ", "
            << (*document)->regions.size() << " regions, "
            << (*document)->services.size() << " services\n";
  return CtlExit::kOk;
}

CtlExit Init(const CtlOptions& options) {
  const absl::StatusOr<std::string> text = ReadFile(options.file);
  if (!text.ok()) return Report(text.status());
  return ReportEdit(options, MakeEditor(options).Create(*text, options.who));
}

CtlExit Show(const CtlOptions& options) {
  const absl::StatusOr<StoredDocument> document = MakeEditor(options).Read();
  if (!document.ok()) return Report(document.status());
  std::string text = document->text;
  if (!options.section.empty()) {
    const std::vector<SectionText> sections = SplitSections(text);
    const SectionText* section = FindSection(sections, options.section);
    if (section == nullptr) {
      return Report(StepError(absl::StatusCode::kNotFound, Step::kStoreCall,
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
  return CtlExit::kOk;
}

CtlExit Apply(const CtlOptions& options) {
  const absl::StatusOr<std::string> text = ReadFile(options.file);
  if (!text.ok()) return Report(text.status());
  SectionEdit edit{.section = options.section,
                   .text = *text,
                   .who = options.who,
                   .reason = options.reason};
  if (!options.base_file.empty()) {
    const absl::StatusOr<std::string> base = ReadFile(options.base_file);
    if (!base.ok()) return Report(base.status());
    edit.base = *base;
  }
  return ReportEdit(options, MakeEditor(options).Apply(edit));
}

CtlExit Diff(const CtlOptions& options) {
  const absl::StatusOr<std::string> text = ReadFile(options.file);
  if (!text.ok()) return Report(text.status());
  const absl::StatusOr<StoredDocument> document = MakeEditor(options).Read();
  if (!document.ok()) return Report(document.status());
  const std::vector<SectionText> sections = SplitSections(document->text);
  const SectionText* section = FindSection(sections, options.section);
  std::cout << LineDiff(section == nullptr ? "" : section->text, *text);
  return CtlExit::kOk;
}

CtlExit SetLeaving(const CtlOptions& options, bool leaving) {
  const DocumentEditor editor = MakeEditor(options);
  const absl::StatusOr<StoredDocument> document = editor.Read();
  if (!document.ok()) return Report(document.status());
  const std::vector<SectionText> sections = SplitSections(document->text);
  const SectionText* section = FindSection(sections, options.service);
  if (section == nullptr) {
    return Report(StepError(absl::StatusCode::kNotFound, Step::kDocumentCheck,
                            options.service, "no such section"));
  }
  const absl::StatusOr<std::string> text =
      SetTargetLeaving(section->text, options.service, options.target, leaving);
  if (!text.ok()) return Report(text.status());
  const SectionEdit edit{.section = options.service,
                         .text = *text,
                         .who = options.who,
                         .reason = options.reason,
                         .base = section->text};
  return ReportEdit(options, editor.Apply(edit));
}

CtlExit Audit(const CtlOptions& options) {
  const absl::StatusOr<std::vector<AuditEntry>> trail =
      MakeEditor(options).Audit();
  if (!trail.ok()) return Report(trail.status());
  for (const AuditEntry& entry : *trail) {
    const bool is_wanted =
        options.section.empty() || entry.section == options.section;
    if (!is_wanted) continue;
    if (options.as_json) {
      std::cout << EntryJson(entry).dump() << "\n";
      continue;
    }
    std::cout << entry.time << "  revision " << entry.revision << "  "
              << entry.section << "  by " << entry.who << "  edit "
              << entry.edit_id << "\n    " << entry.reason << "\n";
  }
  return CtlExit::kOk;
}

CtlExit Status(const CtlOptions& options) {
  CtlExit exit = CtlExit::kOk;
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
                << "no answer: " << text.status().message() << "\n";
      exit = CtlExit::kUnreachable;
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
  return exit;
}

CtlExit Explain(const CtlOptions& options) {
  const std::string path =
      absl::StrCat("/.greengage/explain?service=", options.service,
                   "&client=", options.client);
  for (const std::string& daemon : options.daemons) {
    const absl::StatusOr<std::string> text =
        HttpGet(daemon, path, kDaemonTimeout);
    if (!text.ok()) return Report(text.status());
    const json answer = json::parse(*text, nullptr, false);
    if (options.as_json || !answer.is_object()) {
      std::cout << *text << "\n";
      continue;
    }
    std::cout << "client " << options.client << " is near to region "
              << answer.value("home_region", "?")
              << "\nentry hosts, best first: " << answer["entry_hosts"].dump()
              << "\nsplit of the document: " << answer["document_split"].dump()
              << "\nsplit in force here:   "
              << answer.value("split_in_force", json::object()).dump() << "\n";
    for (const auto& [region, usage] : answer["regions"].items()) {
      std::cout << "region " << region << ": " << usage.dump() << "\n";
    }
  }
  return CtlExit::kOk;
}

/** Adds the options that edits share. */
void AddEditOptions(CLI::App* command, CtlOptions* options) {
  command->add_option("--who", options->who, "Your name, for the audit trail")
      ->required()
      ->envname("GREENGAGE_WHO");
  command->add_option("--reason", options->reason, "Why, for the audit trail")
      ->required();
}

using Command = std::function<CtlExit()>;

/** Adds all commands; the chosen one is stored in `chosen`. */
void AddCommands(CLI::App* app, CtlOptions* options, Command* chosen) {
  const auto add = [&](const char* name, const char* help, Command run) {
    CLI::App* command = app->add_subcommand(name, help);
    command->callback([chosen, run = std::move(run)] { *chosen = run; });
    return command;
  };
  CLI::App* check = add("check", "Check a document in a file",
                        [=] { return Check(*options); });
  check->add_option("file", options->file)->required();
  CLI::App* init =
      add("init", "Write the first document", [=] { return Init(*options); });
  init->add_option("file", options->file)->required();
  init->add_option("--who", options->who)->required()->envname("GREENGAGE_WHO");
  CLI::App* show = add("show", "Show the document or one section",
                       [=] { return Show(*options); });
  show->add_option("section", options->section);
  CLI::App* apply = add("apply", "Replace one section by a file",
                        [=] { return Apply(*options); });
  apply->add_option("section", options->section)->required();
  apply->add_option("file", options->file)->required();
  apply->add_option("--base", options->base_file,
                    "The section as you had it before you edited it");
  AddEditOptions(apply, options);
  CLI::App* diff = add("diff", "Compare one section with a file",
                       [=] { return Diff(*options); });
  diff->add_option("section", options->section)->required();
  diff->add_option("file", options->file)->required();
  for (const bool leaving : {true, false}) {
    CLI::App* command =
        add(leaving ? "drain" : "undrain",
            leaving ? "Mark a target as leaving" : "Take a target back",
            [=] { return SetLeaving(*options, leaving); });
    command->add_option("service", options->service)->required();
    command->add_option("target", options->target)->required();
    AddEditOptions(command, options);
  }
  CLI::App* audit =
      add("audit", "List accepted edits", [=] { return Audit(*options); });
  audit->add_option("section", options->section);
  CLI::App* status = add("status", "Show the state of daemons",
                         [=] { return Status(*options); });
  CLI::App* explain =
      add("explain", "Show why a client's requests go where they go",
          [=] { return Explain(*options); });
  explain->add_option("service", options->service)->required();
  explain->add_option("client", options->client)->required();
  CLI::App* request =
      add("request", "Tell a request's way from its id, out of log files",
          [=] { return Request(*options); });
  request->add_option("id", options->request)->required();
  CLI::App* events = add("events", "List events out of log files",
                         [=] { return Events(*options); });
  events->add_option("--event", options->event, "Number (E610) or name");
  events->add_option("--from", options->from,
                     "From this time on, as it stands in the lines");
  events->add_option("--until", options->until, "Before this time");
  for (CLI::App* command : {request, events}) {
    command->add_option("logs", options->logs, "Log files")->required();
  }
  for (CLI::App* command : {status, explain}) {
    command
        ->add_option("--daemons", options->daemons,
                     "Operators' addresses of daemons, comma-separated")
        ->delimiter(',')
        ->required()
        ->envname("GREENGAGE_DAEMONS");
  }
}

}  // namespace

int RunCtl(int argc, const char* const* argv) {
  CtlOptions options;
  Command chosen;
  CLI::App app("greengagectl: reads and edits the steering document");
  app.set_version_flag("--version", "greengagectl " GREENGAGE_VERSION);
  app.require_subcommand(1);
  app.fallthrough();
  app.add_option("--deployment", options.deployment)
      ->envname("GREENGAGE_DEPLOYMENT");
  app.add_option("--store", options.store,
                 "Addresses of the key-value service, comma-separated")
      ->delimiter(',')
      ->envname("GREENGAGE_STORE");
  app.add_flag("--json", options.as_json, "Write JSON, one object a line");
  AddCommands(&app, &options, &chosen);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error, std::cout, std::cerr);
    return code == 0 ? 0 : static_cast<int>(CtlExit::kInvalid);
  }
  return static_cast<int>(chosen());
}

}  // namespace greengage
