#pragma once

#include "Sardineford/Timeline/Event.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardineford::standins {

/// One event of the history file of a process.
struct HistoryEvent {
  /// Microseconds of the machine's monotonic clock.
  int64_t AtUs = 0;
  std::string Process;
  std::string Kind;
  std::string Request;
  std::string Attempt;
  std::string Pool;
  std::string Engine;
  std::string Order;
  std::string Key;
  uint64_t Epoch = 0;
  uint64_t Generation = 0;
  std::string Detail;

  bool is(timeline::EventKind k) const { return Kind == toString(k); }
};

/// Reads every *.history file of a folder and returns the events ordered by
/// time. Skips incomplete lines, which a killed process may leave.
std::vector<HistoryEvent> readHistories(const std::string &folder);

} // namespace sardineford::standins
