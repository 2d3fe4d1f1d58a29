#pragma once

#include "Sardineford/Http/Message.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardineford::timeline {

/// One event that a process reported.
struct CollectedEvent {
  uint64_t Time = 0;
  std::string Process;
  std::string FailureDomain;
  std::string Kind;
  std::string Request;
  std::string Engine;
  std::string Pool;
  /// The fields as " name=value" pairs, without time, process and kind.
  std::string Text;
};

/// Selects events; an empty field matches all events.
struct Filter {
  std::string Request;
  std::string Engine;
  std::string Pool;
  /// Maximum age in milliseconds relative to the newest event; 0 for all.
  uint64_t MaxAgeMs = 0;
};

/// Events of all processes in causal order, and the processes whose events are
/// missing or incomplete.
struct Collection {
  std::vector<CollectedEvent> Events;
  /// Addresses of processes that could not be queried.
  std::vector<std::string> Unreachable;
  /// Processes whose ring buffers dropped events, with the number of them.
  std::vector<std::string> Overflowed;
};

/// Fetches the events of every process.
Collection collect(const std::vector<http::Endpoint> &processes,
                   const Filter &filter);

/// Returns one line per event, then the missing and incomplete processes.
std::string toText(const Collection &c);
/// Returns an SVG image with one row per process and one mark per event.
std::string toSvg(const Collection &c);

} // namespace sardineford::timeline
