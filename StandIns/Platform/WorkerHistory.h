#pragma once

#include "Sardineford/Common/Time.h"

#include <string>
#include <vector>

namespace sardineford::standins {

/// One line that a backend server wrote of what it did.
struct WorkerEvent {
  /// Since 1970, by the machine's clock.
  Milliseconds Time{0};
  std::string Server;
  /// Empty where the note is of no request.
  std::string Request;
  std::string Action;
};

/// Reads the notes of all backend servers. A line that a killed process did
/// not finish is skipped.
std::vector<WorkerEvent> readHistory(const std::string &file);

} // namespace sardineford::standins
