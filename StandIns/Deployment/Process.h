#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace sardineford::standins {

/// Program, arguments and log file of a process.
struct ProcessSpec {
  std::string Name;
  std::string Program;
  std::vector<std::string> Arguments;
  /// File to which standard output and error are appended. Empty discards them.
  std::string LogFile;
};

/// A child process. The destructor kills the process.
class Process {
public:
  explicit Process(ProcessSpec spec) : Spec(std::move(spec)) {}
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Throws std::runtime_error when the program cannot be started.
  void start();
  /// Sends SIGKILL and waits for the exit.
  void kill();
  /// Sends SIGTERM; wait() waits for the exit.
  void terminate();
  void pause();
  void resume();
  /// Returns whether the process exits before the timeout.
  bool wait(int timeoutMs);
  /// Returns whether the process runs, and reaps the process after its exit.
  bool running();

  const ProcessSpec &spec() const { return Spec; }
  pid_t id() const { return Id; }

private:
  ProcessSpec Spec;
  pid_t Id = 0;
};

} // namespace sardineford::standins
