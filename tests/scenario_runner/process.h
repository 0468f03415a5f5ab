#ifndef TESTS_SCENARIO_RUNNER_PROCESS_H_
#define TESTS_SCENARIO_RUNNER_PROCESS_H_

#include <sys/types.h>

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace greengage::scenario {

/** A process of the scenario. */
struct Process {
  std::vector<std::string> command;
  pid_t pid = 0;
  std::filesystem::path output;  // of both standard streams, appended to
  std::optional<int> exit_code;  // 128 and the signal's number if one ended it
};

/** Starts the process's command. */
void StartProcess(Process* process);

/** Takes in the exit of a process, if it has ended. */
void ReapProcess(Process* process);

/** Kills the process if it still runs, and waits for its end. */
void KillProcess(Process* process);

}  // namespace greengage::scenario

#endif  // TESTS_SCENARIO_RUNNER_PROCESS_H_
