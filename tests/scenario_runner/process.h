#ifndef TESTS_SCENARIO_RUNNER_PROCESS_H_
#define TESTS_SCENARIO_RUNNER_PROCESS_H_

#include <sys/types.h>

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace greengage::scenario {

/** A child process of a test. */
struct Process {
  std::vector<std::string> command;
  pid_t pid = 0;
  std::filesystem::path output;  // stdout and stderr are appended
  std::optional<int> exit_code;  // 128 + signal number if killed
};

/** Starts the command in a new process and sets `pid`. The child exits with 127
    if the command cannot be run. */
void StartProcess(Process* process);

/** Sets `exit_code` if the process has exited. Does not block. */
void ReapProcess(Process* process);

/** Sends SIGSTOP and waits until all threads of the process are stopped. They
   may run on for a while after the signal is sent. */
void SuspendProcess(const Process& process);

/** Kills the process if it is still running, and waits until it has exited. */
void KillProcess(Process* process);

}  // namespace greengage::scenario

#endif  // TESTS_SCENARIO_RUNNER_PROCESS_H_
