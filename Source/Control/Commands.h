#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Http/Message.h"

#include <ostream>
#include <string>
#include <vector>

namespace sardineford::control {

/// Exit code of a command; documented in docs/OPERATIONS.md.
enum class ExitCode {
  Done = 0,
  Failed = 1,
  UsageError = 2,
  Conflict = 3,
  Rejected = 4,
  StoreUnavailable = 5,
  NotApplied = 6,
  /// A daemon has a problem.
  Unhealthy = 7,
};

struct CommandOptions {
  /// The command and its arguments.
  std::vector<std::string> Arguments;
  http::Endpoint Platform;
  std::vector<http::Endpoint> Controllers;
  /// Metrics addresses of daemons.
  std::vector<http::Endpoint> Nodes;
  std::string File;
  bool AsJson = false;
  bool Wait = false;
  Milliseconds WaitTimeout{30'000};
  bool Undo = false;
  /// Writes to the error stream how much of a long command is done.
  bool ShowProgress = false;
};

/// Runs one command of sardinefordctl.
ExitCode runCommand(const CommandOptions &options, std::ostream &out,
                    std::ostream &err);

} // namespace sardineford::control
