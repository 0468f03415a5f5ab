// Runs one scenario file: a list of commands, a line each, against real
// processes. docs/SCENARIOS.md describes the language.
//   scenario_runner --bin DIR --source DIR FILE

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <regex>
#include <sstream>
#include <thread>

#include "gg_core/random.h"
#include "gg_core/time.h"
#include "scenario_runner/http_call.h"
#include "scenario_runner/process.h"
#include "scenario_runner/scenario_text.h"

namespace greengage::scenario {
namespace {

using nlohmann::json;
namespace fs = std::filesystem;

constexpr Duration kPoll = std::chrono::milliseconds(50);

TimePoint Now() { return std::chrono::steady_clock::now(); }

class Runner {
 public:
  struct Options {
    std::string bin;
    std::string source;
    std::string file;
    bool renew_golden = false;
  };

  explicit Runner(Options options) : options_(std::move(options)) {
    folder_ = fs::temp_directory_path() /
              ("greengage-scenario-" + std::to_string(getpid()));
    fs::create_directories(folder_);
    RegisterCommands();
  }

  ~Runner() {
    for (auto& [name, process] : processes_) End(&process);
  }

  int Run() {
    std::ifstream file(options_.file);
    std::string line;
    int number = 0;
    while (std::getline(file, line)) {
      ++number;
      const Words words = Substitute(SplitWords(line), variables_);
      if (words.empty()) continue;
      try {
        RunLine(words);
      } catch (const std::exception& error) {
        std::cout << options_.file << ":" << number << ": " << line
                  << "\n  failed: " << error.what() << "\n";
        DumpLogs();
        return 1;
      }
    }
    fs::remove_all(folder_);
    std::cout << options_.file << ": held\n";
    return number > 0 ? 0 : 1;
  }

 private:
  using Command = std::function<void(const Words&)>;

  void RegisterCommands() {
    commands_["net"] = [this](const Words& w) {
      net_ = At(w, 1);
      variables_["net"] = net_;
    };
    commands_["store"] = [this](const Words&) { StartStore(); };
    commands_["targets"] = [this](const Words& w) { StartTargets(w); };
    commands_["document"] = [this](const Words& w) { WriteDocument(w); };
    commands_["daemon"] = [this](const Words& w) { StartDaemon(w); };
    commands_["start"] = [this](const Words& w) { Start(&Of(At(w, 1))); };
    commands_["signal"] = [this](const Words& w) { Signal(w); };
    commands_["exits"] = [this](const Words& w) { ExpectExit(w); };
    commands_["fault"] = [this](const Words& w) { Fault(w); };
    commands_["ctl"] = [this](const Words& w) { Ctl(w); };
    commands_["edit"] = [this](const Words& w) { Edit(w); };
    commands_["caller"] = [this](const Words& w) { StartCaller(w); };
    commands_["call"] = [this](const Words& w) { RunCall(w); };
    commands_["garbage"] = [this](const Words& w) { SendGarbage(w); };
    commands_["raw"] = [this](const Words& w) { RunRaw(w); };
    commands_["set"] = [this](const Words& w) { SetVariable(w); };
    commands_["expect"] = [this](const Words& w) {
      const Words check(w.begin() + 1, w.end());
      if (!Holds(check)) throw Failure("found " + last_found_);
    };
    commands_["eventually"] = [this](const Words& w) { Eventually(w); };
    commands_["hold"] = [this](const Words& w) { Hold(w); };
    commands_["golden"] = [this](const Words& w) { CompareGolden(w); };
  }

  void RunLine(const Words& words) {
    const auto command = commands_.find(words[0]);
    if (command == commands_.end()) {
      throw Failure("'" + words[0] + "' is no command");
    }
    command->second(words);
  }

  Process& Of(const std::string& name) {
    const auto found = processes_.find(name);
    if (found == processes_.end()) throw Failure("no process '" + name + "'");
    return found->second;
  }

  std::string StoreAddress() const { return net_ + ".1:2379"; }

  std::string DaemonAddress(const std::string& name, const char* port) {
    const auto number = daemon_numbers_.find(name);
    if (number == daemon_numbers_.end()) {
      throw Failure("no daemon '" + name + "'");
    }
    return net_ + "." + std::to_string(10 + number->second) + ":" + port;
  }

  /** Address for a call: a daemon, a set of targets or the store. */
  std::string AddressOf(const std::string& name) {
    if (name == "store") return StoreAddress();
    const auto targets = target_numbers_.find(name);
    if (targets != target_numbers_.end()) {
      return net_ + "." + std::to_string(100 + targets->second) + ":9001";
    }
    return DaemonAddress(name, "8080");
  }

  Process& Spawn(const std::string& name, Words command) {
    command[0] = options_.bin + "/" + command[0];
    Process& process = processes_[name];
    process.command = std::move(command);
    process.output = folder_ / (name + ".log");
    Start(&process);
    return process;
  }

  void StartStore() {
    Spawn("store", {"store_standin", "--listen", StoreAddress()});
    Eventually({"eventually", "10s", "json", "store", "/control/stats",
                "revision", ">=", "1"});
  }

  void StartTargets(const Words& w) {
    const std::string& name = At(w, 1);
    const int number = static_cast<int>(target_numbers_.size());
    target_numbers_[name] = number;
    const int count = std::stoi(Named(w, "count", "1"));
    std::string addresses;
    for (int i = 0; i < count; ++i) {
      addresses += (i == 0 ? "" : ",") + net_ + "." +
                   std::to_string(100 + number) + ":" +
                   std::to_string(9001 + i);
    }
    Spawn(name, {"target_standin", "--listen", addresses, "--slots",
                 Named(w, "slots", "10"), "--work-ms", Named(w, "work", "2")});
    Eventually({"eventually", "10s", "json", name, "/control/stats", "in_use",
                "==", "0"});
  }

  void WriteDocument(const Words& w) {
    std::string text = ReadText(fs::path(options_.source) / At(w, 1));
    for (size_t at = 0; (at = text.find("@NET@", at)) != std::string::npos;) {
      text.replace(at, 5, net_);
    }
    const fs::path path = folder_ / "document.yaml";
    std::ofstream(path, std::ios::binary) << text;
    std::smatch match;
    std::regex_search(text, match, std::regex("deployment: (\\S+)"));
    deployment_ = match[1];
    Ctl({"ctl", "init", path.string(), "--who", "scenario"});
  }

  void StartDaemon(const Words& w) {
    const std::string& name = At(w, 1);
    daemon_numbers_.emplace(name, static_cast<int>(daemon_numbers_.size()));
    const std::string seeds =
        net_ + ".10:7000," + net_ + ".11:7000," + net_ + ".12:7000";
    Spawn(name, {"greengaged",
                 "--deployment",
                 Named(w, "deployment", deployment_),
                 "--region",
                 Named(w, "region"),
                 "--zone",
                 Named(w, "zone"),
                 "--listen",
                 DaemonAddress(name, "8080"),
                 "--peer",
                 DaemonAddress(name, "7000"),
                 "--admin",
                 DaemonAddress(name, "9090"),
                 "--seeds",
                 seeds,
                 "--store",
                 StoreAddress(),
                 "--log-level",
                 "debug",
                 "--threads",
                 Named(w, "threads", "1")});
  }

  void Signal(const Words& w) {
    static const std::map<std::string, int> kSignals = {{"TERM", SIGTERM},
                                                        {"KILL", SIGKILL},
                                                        {"STOP", SIGSTOP},
                                                        {"CONT", SIGCONT}};
    const auto signal = kSignals.find(At(w, 2));
    if (signal == kSignals.end()) throw Failure("use TERM, KILL, STOP or CONT");
    Process& process = Of(At(w, 1));
    kill(process.pid, signal->second);
    if (signal->second != SIGKILL) return;
    waitpid(process.pid, nullptr, 0);
    process.exit_code = 128 + SIGKILL;
  }

  void ExpectExit(const Words& w) {
    Process& process = Of(At(w, 1));
    const TimePoint end = Now() + ParseDuration(Named(w, "within", "10s"));
    while (Reap(&process), !process.exit_code && Now() < end) {
      std::this_thread::sleep_for(kPoll);
    }
    if (!process.exit_code) throw Failure("still running");
    const int wanted = std::stoi(Named(w, "code", "0"));
    if (*process.exit_code != wanted) {
      throw Failure("exit code " + std::to_string(*process.exit_code));
    }
  }

  /** fault store down=1 */
  void Fault(const Words& w) {
    const std::string& setting = At(w, 2);
    const size_t equals = setting.find('=');
    if (equals == std::string::npos) throw Failure("write name=value");
    const Reply reply = Send({.address = AddressOf(At(w, 1)),
                              .method = "POST",
                              .path = "/control/" + setting.substr(0, equals) +
                                      "?value=" + setting.substr(equals + 1)});
    if (reply.status != 200) throw Failure("the stand-in did not answer");
  }

  /** ctl ARGUMENTS... [-> EXIT] */
  void Ctl(const Words& w) {
    Words command = {"greengagectl", "--deployment", deployment_, "--store",
                     StoreAddress()};
    int wanted = 0;
    for (size_t i = 1; i < w.size(); ++i) {
      if (w[i] == "->") {
        wanted = std::stoi(At(w, i + 1));
        break;
      }
      command.push_back(w[i]);
    }
    fs::remove(folder_ / "ctl.log");
    Spawn("ctl", std::move(command));
    try {
      ExpectExit(
          {"exits", "ctl", "code", std::to_string(wanted), "within", "30s"});
    } catch (const Failure& failure) {
      throw Failure(std::string(failure.what()) + ": " +
                    ReadText(folder_ / "ctl.log"));
    }
    last_body_ = ReadText(folder_ / "ctl.log");
    Record("greengagectl " + Join(w, 1) + "\n" + last_body_);
  }

  /** edit SECTION "old" "new" [-> EXIT]: replaces text within the section. */
  void Edit(const Words& w) {
    const std::string& section = At(w, 1);
    Ctl({"ctl", "show", section});
    std::string text = last_body_;
    const fs::path base = folder_ / "base.yaml";
    std::ofstream(base, std::ios::binary) << text;
    size_t at = text.find(At(w, 2));
    if (at == std::string::npos) throw Failure("'" + w[2] + "' is not there");
    for (; at != std::string::npos;
         at = text.find(w[2], at + At(w, 3).size())) {
      text.replace(at, w[2].size(), w[3]);
    }
    const fs::path path = folder_ / "section.yaml";
    std::ofstream(path, std::ios::binary) << text;
    Ctl({"ctl", "apply", section, path.string(), "--base", base.string(),
         "--who", "scenario", "--reason", "scenario", "->",
         Named(w, "->", "0")});
  }

  void StartCaller(const Words& w) {
    Words command = {"caller_standin"};
    for (size_t i = 2; i < w.size(); ++i) {
      // "lookup a,b" names daemons.
      if (w[i - 1] == "--lookup") {
        std::istringstream names(w[i]);
        std::string addresses;
        std::string name;
        while (std::getline(names, name, ',')) {
          addresses += (addresses.empty() ? "" : ",") + AddressOf(name);
        }
        command.push_back(addresses);
      } else {
        command.push_back(w[i]);
      }
    }
    fs::remove(folder_ / (At(w, 1) + ".log"));
    Spawn(At(w, 1), std::move(command));
  }

  /** call WHERE METHOD PATH [field NAME VALUE]... [body TEXT] [-> STATUS
      [OUTCOME]] */
  void RunCall(const Words& w) {
    const Words check = w;
    if (!Holds(check)) throw Failure("found " + last_found_);
    Record(At(w, 2) + " " + At(w, 3) + " at " + At(w, 1) + "\n" + last_found_ +
           "\n" + last_body_ + "\n");
  }

  bool HoldsCall(const Words& w) {
    Call call{
        .address = AddressOf(At(w, 1)), .method = At(w, 2), .path = At(w, 3)};
    if (Named(w, "admin") == "yes") {
      call.address = DaemonAddress(w[1], "9090");
    }
    for (size_t i = 4; i < w.size() && w[i] != "->"; ++i) {
      if (w[i] == "field") call.fields[At(w, i + 1)] = At(w, i + 2);
    }
    call.body = Named(w, "body");
    const Reply reply = Send(call);
    last_body_ = reply.body;
    last_found_ = std::to_string(reply.status) +
                  (reply.outcome.empty() ? "" : " " + reply.outcome);
    for (size_t i = 4; i < w.size(); ++i) {
      if (w[i] != "->") continue;
      if (std::to_string(reply.status) != At(w, i + 1)) return false;
      return i + 2 >= w.size() || reply.outcome == w[i + 2];
    }
    return true;
  }

  /** raw WHERE TEXT -> REGEX: sends bytes as they are; "\\r" and "\\n" in the
     text stand for the control characters. */
  void RunRaw(const Words& w) {
    const std::string text = std::regex_replace(
        std::regex_replace(At(w, 2), std::regex("\\\\r"), "\r"),
        std::regex("\\\\n"), "\n");
    last_body_ = SendRaw(AddressOf(At(w, 1)), text);
    if (!std::regex_search(last_body_, std::regex(At(w, 4)))) {
      throw Failure("found " + last_body_.substr(0, 500));
    }
  }

  /** garbage DAEMON COUNT SEED: bytes of chance, and broken forms of a request,
     to each of its three ports. */
  void SendGarbage(const Words& w) {
    Random random(std::stoull(At(w, 3)));
    const int count = std::stoi(At(w, 2));
    for (int i = 0; i < count; ++i) {
      static const char* const kPorts[] = {"8080", "7000", "9090"};
      SendAndClose(DaemonAddress(At(w, 1), kPorts[i % 3]),
                   GarbageBytes(&random));
    }
  }

  /** Checks one condition:
        call ...                                as the command
        json WHERE PATH KEY RELATION VALUE      a JSON answer
        status DAEMON KEY RELATION VALUE        a daemon's status
        stats TARGETS KEY RELATION VALUE        what targets saw
        result CALLER KEY RELATION VALUE        what a caller that ended saw
        share TARGETS OTHERS RELATION VALUE     part of the requests of both
        log DAEMON ~ REGEX                      a daemon's log
        body RELATION VALUE                     the last answer's body
        field KEY RELATION VALUE                a field of it, as JSON */
  bool Holds(const Words& w) {
    const std::string& kind = At(w, 0);
    if (kind == "call") return HoldsCall(w);
    if (kind == "body") return Check(last_body_, w, 1);
    if (kind == "field") {
      return Check(Find(json::parse(last_body_, nullptr, false), At(w, 1)), w,
                   2);
    }
    if (kind == "log") return Check(ReadText(Of(At(w, 1)).output), w, 2);
    if (kind == "result") {
      return Check(
          Find(json::parse(ReadText(Of(At(w, 1)).output), nullptr, false),
               At(w, 2)),
          w, 3);
    }
    if (kind == "json") {
      return Check(Find(Fetch(AddressOf(At(w, 1)), At(w, 2)), At(w, 3)), w, 4);
    }
    if (kind == "stats") {
      return Check(Find(Fetch(AddressOf(At(w, 1)), "/control/stats"), At(w, 2)),
                   w, 3);
    }
    if (kind == "share") {
      const json first = Fetch(AddressOf(At(w, 1)), "/control/stats");
      const json second = Fetch(AddressOf(At(w, 2)), "/control/stats");
      const double count = first.value("requests", 0.0);
      const double total = count + second.value("requests", 0.0);
      return Check(total > 0 ? count / total : 0.0, w, 3);
    }
    if (kind == "status") {
      return Check(
          Find(Fetch(DaemonAddress(At(w, 1), "9090"), "/.greengage/status"),
               At(w, 2)),
          w, 3);
    }
    throw Failure("'" + kind + "' is no condition");
  }

  bool Check(const json& value, const Words& w, size_t relation) {
    last_found_ = Plain(value).substr(0, 2000);
    return Compare(value, At(w, relation), At(w, relation + 1));
  }

  /** eventually TIME CONDITION... */
  void Eventually(const Words& w) {
    const TimePoint end = Now() + ParseDuration(At(w, 1));
    const Words check(w.begin() + 2, w.end());
    while (!Holds(check)) {
      if (Now() >= end) throw Failure("last found " + last_found_);
      std::this_thread::sleep_for(kPoll);
    }
  }

  /** hold TIME CONDITION...: must hold at every look. */
  void Hold(const Words& w) {
    const TimePoint end = Now() + ParseDuration(At(w, 1));
    const Words check(w.begin() + 2, w.end());
    while (Now() < end) {
      if (!Holds(check)) throw Failure("found " + last_found_);
      std::this_thread::sleep_for(kPoll);
    }
  }

  /** set NAME KEY: keeps a field of the last answer for later lines. */
  void SetVariable(const Words& w) {
    variables_[At(w, 1)] =
        Plain(Find(json::parse(last_body_, nullptr, false), At(w, 2)));
  }

  void Record(const std::string& text) { transcript_ += text + "\n"; }

  void CompareGolden(const Words& w) {
    const fs::path path = fs::path(options_.source) / At(w, 1);
    const std::string found = Normalized(transcript_);
    if (options_.renew_golden) {
      std::ofstream(path, std::ios::binary) << found;
      return;
    }
    if (ReadText(path) == found) return;
    throw Failure("the session differs from " + path.string() + ":\n" + found);
  }

  void DumpLogs() const {
    for (const auto& entry : processes_) PrintLastLines(entry.second.output);
  }

  Options options_;
  fs::path folder_;
  std::map<std::string, Command> commands_;
  std::map<std::string, Process> processes_;
  std::map<std::string, int> daemon_numbers_;
  std::map<std::string, int> target_numbers_;
  std::map<std::string, std::string> variables_;
  std::string net_ = "127.50.0";
  std::string deployment_;
  std::string last_body_;
  std::string last_found_;
  std::string transcript_;
};

}  // namespace
}  // namespace greengage::scenario

int main(int argc, char** argv) {
  greengage::scenario::Runner::Options options;
  CLI::App app("Runs one scenario");
  app.add_option("--bin", options.bin)->required();
  app.add_option("--source", options.source)->required();
  app.add_flag("--renew-golden", options.renew_golden)
      ->envname("GREENGAGE_RENEW_GOLDEN");
  app.add_option("file", options.file)->required();
  CLI11_PARSE(app, argc, argv);
  greengage::scenario::Runner runner(options);
  return runner.Run();
}
