#include "scenario_runner/process.h"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>

namespace greengage::scenario {

void StartProcess(Process* process) {
  process->exit_code.reset();
  const std::string output = process->output.string();
  std::vector<char*> arguments;
  for (std::string& argument : process->command) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  process->pid = fork();
  if (process->pid != 0) return;
  if (freopen(output.c_str(), "a", stdout) == nullptr ||
      dup2(fileno(stdout), fileno(stderr)) < 0) {
    _exit(127);
  }
  // The child must not inherit the connections of this process, or they would
  // stay open after this process closes them.
  close_range(3, ~0U, 0);
  execv(arguments[0], arguments.data());
  _exit(127);
}

void ReapProcess(Process* process) {
  int status = 0;
  if (process->exit_code || process->pid == 0) return;
  if (waitpid(process->pid, &status, WNOHANG) != process->pid) return;
  process->exit_code =
      WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

void SuspendProcess(const Process& process) {
  kill(process.pid, SIGSTOP);
  siginfo_t stopped{};
  waitid(P_PID, process.pid, &stopped, WSTOPPED);
}

void KillProcess(Process* process) {
  ReapProcess(process);
  if (process->exit_code || process->pid == 0) return;
  kill(process->pid, SIGKILL);
  waitpid(process->pid, nullptr, 0);
}

}  // namespace greengage::scenario
