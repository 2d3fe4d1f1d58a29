#pragma once

#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardineford::standins {

struct SoakOptions {
  uint64_t Seed = 1;
  /// Time in which faults are injected; a quiet time follows.
  Milliseconds Length{8'000};
  /// Without faults, only load.
  bool Faults = true;
  unsigned Callers = 12;
  std::string Programs;
  std::string Folder;
};

struct SoakReport {
  /// Number of requests by how they ended.
  std::map<std::string, uint64_t> Ends;
  uint64_t Faults = 0;
  /// What broke a promise, with the ids of the requests.
  std::vector<std::string> Violations;
};

/// Runs the daemon, a store and backend servers as processes, calls them from
/// many callers, and meanwhile kills, stops, pauses and cuts them off from
/// outside. Checks what callers and backend servers saw.
SoakReport runSoak(const SoakOptions &options);

} // namespace sardineford::standins
