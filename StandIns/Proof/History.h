#pragma once

#include "Sardineford/Timeline/Event.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardineford::standins {

/// One event of a history, as its process wrote it.
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

/// Reads every *.history file of a folder, ordered by time. A line that was
/// cut short by a kill is left out.
std::vector<HistoryEvent> readHistories(const std::string &folder);

} // namespace sardineford::standins
