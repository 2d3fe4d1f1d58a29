#pragma once

#include "Sardineford/Http/Message.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardineford::timeline {

/// One event as another process told it.
struct CollectedEvent {
  uint64_t Time = 0;
  std::string Process;
  std::string FailureDomain;
  std::string Kind;
  std::string Request;
  std::string Engine;
  std::string Pool;
  /// All fields in one line.
  std::string Text;
};

/// Which events are wanted; empty fields match all.
struct Filter {
  std::string Request;
  std::string Engine;
  std::string Pool;
  /// Only events at most this old; 0 for all.
  uint64_t NewestMs = 0;
};

/// Events of all processes in causal order, and what is missing.
struct Collection {
  std::vector<CollectedEvent> Events;
  std::vector<std::string> Silent;
  /// Processes whose rings have dropped events, with the number.
  std::vector<std::string> Overflowed;
};

/// Asks every process for its events.
Collection collect(const std::vector<http::Endpoint> &processes,
                   const Filter &filter);

/// One line for each event.
std::string toText(const Collection &c);
/// One row for each process, one mark for each event, as one SVG file.
std::string toSvg(const Collection &c);

} // namespace sardineford::timeline
