#pragma once

#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardineford::standins {

struct SoakOptions {
  uint64_t Seed = 1;
  /// Duration of the fault injection; a recovery time without faults follows.
  Milliseconds Length{8'000};
  /// Injects faults; if false, the soak only applies load.
  bool Faults = true;
  /// Injects only faults under which every response must be complete: backend
  /// servers that are silent for a short time, changes of the configuration and
  /// of the settings.
  bool PlannedOnly = false;
  /// Sends requests beside these faults that crash each engine that begins to
  /// answer them, and lets one engine name a limit of its requests.
  bool Hazards = false;
  /// All backend servers reject some requests, without an id, and write their
  /// rejections once more.
  bool RepeatsRejections = false;
  /// Lets another writer leave odd entries among those of the backend servers
  /// all the time, beside the faults.
  bool OddEntries = false;
  /// Lets backend servers answer without an end for short times, beside the
  /// faults.
  bool EndlessResponses = false;
  /// Injects cuts of a daemon, or of all but one, from all backend servers;
  /// only with as many daemons as can have links of their own.
  bool CutsDaemons = false;
  unsigned Callers = 12;
  /// More than 12 form a large fleet, in which trackers know the loads and a
  /// few daemons watch the store.
  unsigned Daemons = 3;
  std::string Programs;
  std::string Folder;
};

struct SoakReport {
  /// Number of requests by outcome.
  std::map<std::string, uint64_t> Outcomes;
  /// Number of injected faults.
  uint64_t Faults = 0;
  /// Descriptions of the violated invariants, with the ids of the requests.
  std::vector<std::string> Violations;
};

/// Runs daemons, a store and backend servers as processes, and sends requests
/// from many callers while it kills, stops, pauses and disconnects the
/// processes. Checks the results of the callers and the history of the backend
/// servers.
SoakReport runSoak(const SoakOptions &options);

} // namespace sardineford::standins
