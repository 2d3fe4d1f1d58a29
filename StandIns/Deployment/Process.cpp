#include "StandIns/Deployment/Process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <stdexcept>
#include <thread>

extern char **environ;

namespace sardineford::standins {

namespace {

constexpr int PollIntervalMs = 5;
constexpr mode_t LogMode = 0644;

} // namespace

Process::~Process() { kill(); }

void Process::start() {
  std::vector<char *> argv;
  argv.push_back(Spec.Program.data());
  for (std::string &it : Spec.Arguments)
    argv.push_back(it.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const char *log = Spec.LogFile.empty() ? "/dev/null" : Spec.LogFile.c_str();
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log,
                                   O_WRONLY | O_CREAT | O_APPEND, LogMode);
  posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
  // A child must not inherit the sockets of the process that starts it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  int rc = posix_spawn(&Id, Spec.Program.c_str(), &actions, nullptr,
                       argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (rc != 0) {
    Id = 0;
    throw std::runtime_error("cannot start " + Spec.Program);
  }
}

bool Process::running() {
  if (Id == 0)
    return false;
  int status = 0;
  if (waitpid(Id, &status, WNOHANG) != Id)
    return true;
  Id = 0;
  return false;
}

void Process::kill() {
  if (Id == 0)
    return;
  ::kill(Id, SIGKILL);
  int status = 0;
  waitpid(Id, &status, 0);
  Id = 0;
}

void Process::terminate() {
  if (Id != 0)
    ::kill(Id, SIGTERM);
}

void Process::pause() {
  if (Id != 0)
    ::kill(Id, SIGSTOP);
}

void Process::resume() {
  if (Id != 0)
    ::kill(Id, SIGCONT);
}

bool Process::wait(int timeoutMs) {
  for (int n = 0; n < timeoutMs / PollIntervalMs; ++n) {
    if (!running())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(PollIntervalMs));
  }
  return !running();
}

} // namespace sardineford::standins
