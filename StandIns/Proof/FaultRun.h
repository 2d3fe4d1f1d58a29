#pragma once

#include "StandIns/Proof/Checkers.h"
#include "StandIns/Proof/Faults.h"
#include "StandIns/Proof/Workload.h"

#include <map>
#include <string>
#include <vector>

namespace sardineford::standins {

/// One of the brief's deployments, for runs with its time scaled down.
struct ExampleDeployment {
  std::string Name;
  std::string Pool;
  std::string Model;
  std::string Service;
  std::string OncePath;
  std::string Workspace;
  std::vector<std::string> FailureDomains;
  /// Engines refuse orders with an old fencing number.
  bool ChecksFencing = true;
};

ExampleDeployment nilebridge();
ExampleDeployment trinacria();

struct FaultRunOptions {
  std::string Programs;
  std::string Examples;
  std::string Folder;
  ExampleDeployment Where;
  uint64_t Seed = 1;
  /// Overrides the schedule that the seed gives.
  FaultSchedule Schedule;
  Milliseconds Length{5'000};
  /// Settings that switch a mechanism off, by key.
  std::map<std::string, std::string> Off;
};

struct FaultRunResult {
  FaultSchedule Schedule;
  WorkloadCounts Counts;
  std::vector<Violation> Violations;
  size_t Events = 0;
  /// Times from the kill of a holder to the next one's lease.
  std::vector<Milliseconds> Takeovers;
  /// Times from the publishing of a generation until all had it.
  std::vector<Milliseconds> InForce;
  /// Why the run could not be made, if so.
  std::string Failure;
};

/// Starts a deployment, runs the workload under the schedule's faults, stops
/// everything and checks the history.
FaultRunResult runFaults(const FaultRunOptions &options);

} // namespace sardineford::standins
