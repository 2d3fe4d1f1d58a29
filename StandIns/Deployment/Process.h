#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace sardineford::standins {

/// A program to start and its arguments.
struct ProcessSpec {
  std::string Name;
  std::string Program;
  std::vector<std::string> Arguments;
  /// File that its standard output and error are appended to.
  std::string LogFile;
};

/// One process that the bench started. Its destructor kills it.
class Process {
public:
  explicit Process(ProcessSpec spec) : Spec(std::move(spec)) {}
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Throws std::runtime_error when the program cannot be started.
  void start();
  /// Sends SIGKILL and waits for the end.
  void kill();
  /// Sends SIGTERM; wait() waits for the end.
  void terminate();
  void pause();
  void resume();
  /// Waits for the end, at most the given time; false when it still runs.
  bool wait(int milliseconds);
  /// Whether it runs; takes note when it has ended.
  bool running();

  const ProcessSpec &spec() const { return Spec; }
  pid_t id() const { return Id; }

private:
  ProcessSpec Spec;
  pid_t Id = 0;
};

} // namespace sardineford::standins
