// Runs a scenario file against real processes. The file has one command per
// line. docs/SCENARIOS.md describes the language.
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

constexpr Duration kPollInterval = std::chrono::milliseconds(50);

TimePoint Now() { return std::chrono::steady_clock::now(); }

/** Runs one scenario and the processes that it starts. */
class Runner {
 public:
  struct Options {
    std::string bin;
    std::string source;
    std::string file;
    bool update_golden = false;
  };

  explicit Runner(Options options) : options_(std::move(options)) {
    directory_ = fs::temp_directory_path() /
                 ("greengage-scenario-" + std::to_string(getpid()));
    fs::create_directories(directory_);
    RegisterCommands();
  }

  ~Runner() {
    for (auto& [name, process] : processes_) KillProcess(&process);
  }

  /** Runs all lines of the file. Returns 0 if every step succeeded and 1 at the
      first failure, after printing the line and the last lines of each log. */
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
    fs::remove_all(directory_);
    std::cout << options_.file << ": passed\n";
    return number > 0 ? 0 : 1;
  }

 private:
  using Command = std::function<void(const Words&)>;

  void RegisterCommands() {
    commands_["net"] = [this](const Words& words) {
      network_prefix_ = WordAt(words, 1);
      variables_["net"] = network_prefix_;
    };
    commands_["store"] = [this](const Words&) { StartStore(); };
    commands_["targets"] = [this](const Words& words) { StartTargets(words); };
    commands_["document"] = [this](const Words& words) {
      WriteDocument(words);
    };
    commands_["daemon"] = [this](const Words& words) { StartDaemon(words); };
    commands_["start"] = [this](const Words& words) {
      StartProcess(&FindProcess(WordAt(words, 1)));
    };
    commands_["signal"] = [this](const Words& words) { Signal(words); };
    commands_["exits"] = [this](const Words& words) { ExpectExit(words); };
    commands_["fault"] = [this](const Words& words) { SetFault(words); };
    commands_["ctl"] = [this](const Words& words) { RunCtl(words); };
    commands_["edit"] = [this](const Words& words) { EditSection(words); };
    commands_["caller"] = [this](const Words& words) { StartCaller(words); };
    commands_["call"] = [this](const Words& words) { RunCall(words); };
    commands_["garbage"] = [this](const Words& words) { SendGarbage(words); };
    commands_["leave"] = [this](const Words& words) { SendAndLeave(words); };
    commands_["raw"] = [this](const Words& words) { RunRaw(words); };
    commands_["trailer"] = [this](const Words& words) { RunTrailer(words); };
    commands_["set"] = [this](const Words& words) { SetVariable(words); };
    commands_["expect"] = [this](const Words& words) {
      const Words condition(words.begin() + 1, words.end());
      if (!IsTrue(condition)) throw StepFailure("found " + last_value_);
    };
    commands_["eventually"] = [this](const Words& words) { Eventually(words); };
    commands_["hold"] = [this](const Words& words) { HoldCondition(words); };
    commands_["golden"] = [this](const Words& words) { CompareGolden(words); };
  }

  void RunLine(const Words& words) {
    const auto command = commands_.find(words[0]);
    if (command == commands_.end()) {
      throw StepFailure("'" + words[0] + "' is not a command");
    }
    command->second(words);
  }

  Process& FindProcess(const std::string& name) {
    const auto found = processes_.find(name);
    if (found == processes_.end()) {
      throw StepFailure("unknown process '" + name + "'");
    }
    return found->second;
  }

  std::string StoreAddress() const { return network_prefix_ + ".1:2379"; }

  std::string DaemonAddress(const std::string& name, const char* port) {
    const auto number = daemon_numbers_.find(name);
    if (number == daemon_numbers_.end()) {
      throw StepFailure("unknown daemon '" + name + "'");
    }
    return network_prefix_ + "." + std::to_string(10 + number->second) + ":" +
           port;
  }

  /** Returns the address of a daemon, a set of targets or the store. */
  std::string AddressOf(const std::string& name) {
    if (name == "store") return StoreAddress();
    const auto targets = target_numbers_.find(name);
    if (targets != target_numbers_.end()) {
      return network_prefix_ + "." + std::to_string(100 + targets->second) +
             ":9001";
    }
    return DaemonAddress(name, "8080");
  }

  Process& SpawnProcess(const std::string& name, Words command) {
    command[0] = options_.bin + "/" + command[0];
    Process& process = processes_[name];
    process.command = std::move(command);
    process.output = directory_ / (name + ".log");
    StartProcess(&process);
    return process;
  }

  void StartStore() {
    SpawnProcess("store", {"store_standin", "--listen", StoreAddress()});
    Eventually({"eventually", "10s", "json", "store", "/control/stats",
                "revision", ">=", "1"});
  }

  /** targets NAME [count N] [slots N] [work MS]: starts a process with targets.
   */
  void StartTargets(const Words& words) {
    const std::string& name = WordAt(words, 1);
    const int number = static_cast<int>(target_numbers_.size());
    target_numbers_[name] = number;
    const int count = std::stoi(OptionValue(words, "count", "1"));
    std::string addresses;
    for (int i = 0; i < count; ++i) {
      addresses += (i == 0 ? "" : ",") + network_prefix_ + "." +
                   std::to_string(100 + number) + ":" +
                   std::to_string(9001 + i);
    }
    SpawnProcess(name, {"target_standin", "--listen", addresses, "--slots",
                        OptionValue(words, "slots", "10"), "--work-ms",
                        OptionValue(words, "work", "2")});
    Eventually({"eventually", "10s", "json", name, "/control/stats", "in_use",
                "==", "0"});
  }

  /** document FILE: writes a steering document to the store with greengagectl.
      In the file @NET@ stands for the network prefix. */
  void WriteDocument(const Words& words) {
    std::string text = ReadText(fs::path(options_.source) / WordAt(words, 1));
    for (size_t at = 0; (at = text.find("@NET@", at)) != std::string::npos;) {
      text.replace(at, 5, network_prefix_);
    }
    const fs::path path = directory_ / "document.yaml";
    std::ofstream(path, std::ios::binary) << text;
    std::smatch match;
    std::regex_search(text, match, std::regex("deployment: (\\S+)"));
    deployment_ = match[1];
    RunCtl({"ctl", "init", path.string(), "--who", "scenario"});
  }

  /** daemon NAME region REGION zone ZONE [deployment NAME] [threads N] */
  void StartDaemon(const Words& words) {
    const std::string& name = WordAt(words, 1);
    daemon_numbers_.emplace(name, static_cast<int>(daemon_numbers_.size()));
    const std::string seeds = network_prefix_ + ".10:7000," + network_prefix_ +
                              ".11:7000," + network_prefix_ + ".12:7000";
    SpawnProcess(name, {"greengaged",
                        "--deployment",
                        OptionValue(words, "deployment", deployment_),
                        "--region",
                        OptionValue(words, "region"),
                        "--zone",
                        OptionValue(words, "zone"),
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
                        OptionValue(words, "threads", "1")});
  }

  /** signal PROCESS TERM|KILL|STOP|CONT: sends a signal. After KILL it waits
      until the process has exited, after STOP until it is stopped. */
  void Signal(const Words& words) {
    static const std::map<std::string, int> kSignals = {{"TERM", SIGTERM},
                                                        {"KILL", SIGKILL},
                                                        {"STOP", SIGSTOP},
                                                        {"CONT", SIGCONT}};
    const auto signal = kSignals.find(WordAt(words, 2));
    if (signal == kSignals.end()) {
      throw StepFailure("unknown signal; use TERM, KILL, STOP or CONT");
    }
    Process& process = FindProcess(WordAt(words, 1));
    if (signal->second == SIGSTOP) {
      SuspendProcess(process);
      return;
    }
    kill(process.pid, signal->second);
    if (signal->second != SIGKILL) return;
    waitpid(process.pid, nullptr, 0);
    process.exit_code = 128 + SIGKILL;
  }

  /** exits PROCESS [code N] [within TIME]: waits for the exit of a process and
      checks its exit code. */
  void ExpectExit(const Words& words) {
    Process& process = FindProcess(WordAt(words, 1));
    const TimePoint end =
        Now() + ParseDuration(OptionValue(words, "within", "10s"));
    while (ReapProcess(&process), !process.exit_code && Now() < end) {
      std::this_thread::sleep_for(kPollInterval);
    }
    if (!process.exit_code) throw StepFailure("the process is still running");
    const int expected_code = std::stoi(OptionValue(words, "code", "0"));
    if (*process.exit_code != expected_code) {
      throw StepFailure("exit code " + std::to_string(*process.exit_code));
    }
  }

  /** fault STORE_OR_TARGETS NAME=VALUE: sets a fault of a stand-in, such as
      "fault store down=1". */
  void SetFault(const Words& words) {
    const std::string& setting = WordAt(words, 2);
    const size_t equals = setting.find('=');
    if (equals == std::string::npos) {
      throw StepFailure("the fault must have the form name=value");
    }
    const Reply reply = Send({.address = AddressOf(WordAt(words, 1)),
                              .method = "POST",
                              .path = "/control/" + setting.substr(0, equals) +
                                      "?value=" + setting.substr(equals + 1)});
    if (reply.status != 200) {
      throw StepFailure("the stand-in did not accept the fault");
    }
  }

  /** ctl ARGUMENTS... [-> EXIT]: runs greengagectl. */
  void RunCtl(const Words& words) {
    Words command = {"greengagectl", "--deployment", deployment_, "--store",
                     StoreAddress()};
    int expected_code = 0;
    for (size_t i = 1; i < words.size(); ++i) {
      if (words[i] == "->") {
        expected_code = std::stoi(WordAt(words, i + 1));
        break;
      }
      command.push_back(words[i]);
    }
    fs::remove(directory_ / "ctl.log");
    SpawnProcess("ctl", std::move(command));
    try {
      ExpectExit({"exits", "ctl", "code", std::to_string(expected_code),
                  "within", "30s"});
    } catch (const StepFailure& failure) {
      throw StepFailure(std::string(failure.what()) + ": " +
                        ReadText(directory_ / "ctl.log"));
    }
    last_body_ = ReadText(directory_ / "ctl.log");
    AppendToTranscript("greengagectl " + JoinWords(words, 1) + "\n" +
                       last_body_);
  }

  /** edit SECTION "old" "new" [-> EXIT]: replaces every occurrence of a text in
      the section and applies the result. */
  void EditSection(const Words& words) {
    const std::string& section = WordAt(words, 1);
    RunCtl({"ctl", "show", section});
    std::string text = last_body_;
    const fs::path base = directory_ / "base.yaml";
    std::ofstream(base, std::ios::binary) << text;
    size_t at = text.find(WordAt(words, 2));
    if (at == std::string::npos) {
      throw StepFailure("'" + words[2] + "' does not occur in the section");
    }
    for (; at != std::string::npos;
         at = text.find(words[2], at + WordAt(words, 3).size())) {
      text.replace(at, words[2].size(), words[3]);
    }
    const fs::path path = directory_ / "section.yaml";
    std::ofstream(path, std::ios::binary) << text;
    RunCtl({"ctl", "apply", section, path.string(), "--base", base.string(),
            "--who", "scenario", "--reason", "scenario", "->",
            OptionValue(words, "->", "0")});
  }

  /** caller NAME FLAGS...: starts caller_standin with these flags. */
  void StartCaller(const Words& words) {
    Words command = {"caller_standin"};
    for (size_t i = 2; i < words.size(); ++i) {
      // The value of --lookup is a list of daemon names.
      if (words[i - 1] == "--lookup") {
        std::istringstream names(words[i]);
        std::string addresses;
        std::string name;
        while (std::getline(names, name, ',')) {
          addresses += (addresses.empty() ? "" : ",") + AddressOf(name);
        }
        command.push_back(addresses);
      } else {
        command.push_back(words[i]);
      }
    }
    fs::remove(directory_ / (WordAt(words, 1) + ".log"));
    SpawnProcess(WordAt(words, 1), std::move(command));
  }

  /** call WHERE METHOD PATH [field NAME VALUE]... [body TEXT] [admin yes]
      [-> STATUS [OUTCOME]]: sends a request and checks its response. */
  void RunCall(const Words& words) {
    const Words condition = words;
    if (!IsTrue(condition)) throw StepFailure("found " + last_value_);
    AppendToTranscript(WordAt(words, 2) + " " + WordAt(words, 3) + " at " +
                       WordAt(words, 1) + "\n" + last_value_ + "\n" +
                       last_body_ + "\n");
  }

  bool IsCallTrue(const Words& words) {
    Call call{.address = AddressOf(WordAt(words, 1)),
              .method = WordAt(words, 2),
              .path = WordAt(words, 3)};
    if (OptionValue(words, "admin") == "yes") {
      call.address = DaemonAddress(words[1], "9090");
    }
    for (size_t i = 4; i < words.size() && words[i] != "->"; ++i) {
      if (words[i] == "field") {
        call.headers[WordAt(words, i + 1)] = WordAt(words, i + 2);
      }
    }
    call.body = OptionValue(words, "body");
    const Reply reply = Send(call);
    last_body_ = reply.body;
    last_value_ = std::to_string(reply.status) +
                  (reply.outcome.empty() ? "" : " " + reply.outcome);
    for (size_t i = 4; i < words.size(); ++i) {
      if (words[i] != "->") continue;
      if (std::to_string(reply.status) != WordAt(words, i + 1)) return false;
      return i + 2 >= words.size() || reply.outcome == words[i + 2];
    }
    return true;
  }

  /** Replaces "\\r" and "\\n" in `text` by the control characters. */
  static std::string Unescape(const std::string& text) {
    return std::regex_replace(
        std::regex_replace(text, std::regex("\\\\r"), "\r"),
        std::regex("\\\\n"), "\n");
  }

  /** leave WHERE COUNT TEXT: sends TEXT, written as for `raw`, on COUNT
      connections and closes each without waiting for a response. */
  void SendAndLeave(const Words& words) {
    const std::string address = AddressOf(WordAt(words, 1));
    const std::string text = Unescape(WordAt(words, 3));
    const int count = std::stoi(WordAt(words, 2));
    for (int i = 0; i < count; ++i) SendAndClose(address, text);
  }

  /** raw WHERE TEXT -> REGEX: sends TEXT as it is and checks the response. In
      TEXT "\\r" and "\\n" stand for the control characters. */
  void RunRaw(const Words& words) {
    last_body_ =
        SendRaw(AddressOf(WordAt(words, 1)), Unescape(WordAt(words, 2)));
    if (!std::regex_search(last_body_, std::regex(WordAt(words, 4)))) {
      throw StepFailure("found " + last_body_.substr(0, 500));
    }
  }

  /** trailer WHERE PATH BYTES -> REGEX: sends a chunked POST request whose
      trailer has a field of BYTES bytes, and checks the response. */
  void RunTrailer(const Words& words) {
    const std::string request =
        "POST " + WordAt(words, 2) +
        " HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nab\r\n0\r\nX-Pad: " +
        std::string(std::stoul(WordAt(words, 3)), 'a') + "\r\n\r\n";
    last_body_ = SendRaw(AddressOf(WordAt(words, 1)), request);
    if (!std::regex_search(last_body_, std::regex(WordAt(words, 5)))) {
      throw StepFailure("found " + last_body_.substr(0, 500));
    }
  }

  /** garbage DAEMON COUNT SEED: sends random bytes and corrupted requests, in
      turn to each of the daemon's three ports. */
  void SendGarbage(const Words& words) {
    Random random(std::stoull(WordAt(words, 3)));
    const int count = std::stoi(WordAt(words, 2));
    for (int i = 0; i < count; ++i) {
      static const char* const kPorts[] = {"8080", "7000", "9090"};
      SendAndClose(DaemonAddress(WordAt(words, 1), kPorts[i % 3]),
                   MakeGarbage(&random));
    }
  }

  /** Checks one condition:
        call ...                             like the command
        json WHERE PATH KEY RELATION VALUE   a value of a JSON response
        status DAEMON KEY RELATION VALUE     a value of a daemon's status
        stats TARGETS KEY RELATION VALUE     a value of the targets' statistics
        result CALLER KEY RELATION VALUE     a result of an exited caller
        share TARGETS OTHERS RELATION VALUE  share of TARGETS in their requests
        log DAEMON ~ REGEX                   the log of a daemon
        body RELATION VALUE                  the body of the last response
        field KEY RELATION VALUE             a value of that body, as JSON */
  bool IsTrue(const Words& words) {
    const std::string& kind = WordAt(words, 0);
    if (kind == "call") return IsCallTrue(words);
    if (kind == "body") return CompareValue(last_body_, words, 1);
    if (kind == "field") {
      return CompareValue(
          FindJson(json::parse(last_body_, nullptr, false), WordAt(words, 1)),
          words, 2);
    }
    if (kind == "log") {
      return CompareValue(ReadText(FindProcess(WordAt(words, 1)).output), words,
                          2);
    }
    if (kind == "result") {
      return CompareValue(
          FindJson(json::parse(ReadText(FindProcess(WordAt(words, 1)).output),
                               nullptr, false),
                   WordAt(words, 2)),
          words, 3);
    }
    if (kind == "json") {
      return CompareValue(
          FindJson(FetchJson(AddressOf(WordAt(words, 1)), WordAt(words, 2)),
                   WordAt(words, 3)),
          words, 4);
    }
    if (kind == "stats") {
      return CompareValue(
          FindJson(FetchJson(AddressOf(WordAt(words, 1)), "/control/stats"),
                   WordAt(words, 2)),
          words, 3);
    }
    if (kind == "share") {
      const json first =
          FetchJson(AddressOf(WordAt(words, 1)), "/control/stats");
      const json second =
          FetchJson(AddressOf(WordAt(words, 2)), "/control/stats");
      const double count = first.value("requests", 0.0);
      const double total = count + second.value("requests", 0.0);
      return CompareValue(total > 0 ? count / total : 0.0, words, 3);
    }
    if (kind == "status") {
      return CompareValue(
          FindJson(FetchJson(DaemonAddress(WordAt(words, 1), "9090"),
                             "/.greengage/status"),
                   WordAt(words, 2)),
          words, 3);
    }
    throw StepFailure("'" + kind + "' is not a condition");
  }

  bool CompareValue(const json& value, const Words& words, size_t relation) {
    last_value_ = PlainText(value).substr(0, 2000);
    return Compare(value, WordAt(words, relation), WordAt(words, relation + 1));
  }

  /** eventually TIME CONDITION...: waits until the condition is true. Fails if
      it is still false after TIME. */
  void Eventually(const Words& words) {
    const TimePoint end = Now() + ParseDuration(WordAt(words, 1));
    const Words condition(words.begin() + 2, words.end());
    while (!IsTrue(condition)) {
      if (Now() >= end) throw StepFailure("last found " + last_value_);
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  /** hold TIME CONDITION...: checks the condition repeatedly for TIME. Fails if
      it is false once. */
  void HoldCondition(const Words& words) {
    const TimePoint end = Now() + ParseDuration(WordAt(words, 1));
    const Words condition(words.begin() + 2, words.end());
    while (Now() < end) {
      if (!IsTrue(condition)) throw StepFailure("found " + last_value_);
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  /** set NAME KEY: stores a value of the last response's JSON body in a
      variable for later lines. */
  void SetVariable(const Words& words) {
    variables_[WordAt(words, 1)] = PlainText(
        FindJson(json::parse(last_body_, nullptr, false), WordAt(words, 2)));
  }

  void AppendToTranscript(const std::string& text) {
    transcript_ += text + "\n";
  }

  /** golden FILE: compares the transcript with a file, or with --renew-golden
      overwrites the file. */
  void CompareGolden(const Words& words) {
    const fs::path path = fs::path(options_.source) / WordAt(words, 1);
    const std::string found = NormalizeTranscript(transcript_);
    if (options_.update_golden) {
      std::ofstream(path, std::ios::binary) << found;
      return;
    }
    if (ReadText(path) == found) return;
    throw StepFailure("the transcript differs from " + path.string() + ":\n" +
                      found);
  }

  void DumpLogs() const {
    for (const auto& entry : processes_) PrintLastLines(entry.second.output);
  }

  Options options_;
  fs::path directory_;
  std::map<std::string, Command> commands_;
  std::map<std::string, Process> processes_;
  std::map<std::string, int> daemon_numbers_;
  std::map<std::string, int> target_numbers_;
  std::map<std::string, std::string> variables_;
  std::string network_prefix_ = "127.50.0";
  std::string deployment_;
  std::string last_body_;
  std::string last_value_;
  std::string transcript_;
};

}  // namespace
}  // namespace greengage::scenario

int main(int argc, char** argv) {
  greengage::scenario::Runner::Options options;
  CLI::App app("Runs one scenario");
  app.add_option("--bin", options.bin)->required();
  app.add_option("--source", options.source)->required();
  app.add_flag("--renew-golden", options.update_golden)
      ->envname("GREENGAGE_RENEW_GOLDEN");
  app.add_option("file", options.file)->required();
  CLI11_PARSE(app, argc, argv);
  greengage::scenario::Runner runner(options);
  return runner.Run();
}
