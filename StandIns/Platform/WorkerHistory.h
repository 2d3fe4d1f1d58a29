#pragma once

#include "Sardineford/Common/Time.h"

#include <string>
#include <vector>

namespace sardineford::standins {

/// One event in the history file of the backend servers.
struct WorkerEvent {
  /// Wall-clock time since 1970.
  Milliseconds Time{0};
  std::string Server;
  std::string Version;
  /// Empty if the event belongs to no request.
  std::string Request;
  std::string Action;
};

/// Reads the events of all backend servers. Skips a line that a killed process
/// did not write completely.
std::vector<WorkerEvent> readHistory(const std::string &file);

} // namespace sardineford::standins
