#pragma once

#include "StandIns/Proof/Checkers.h"
#include "StandIns/Proof/Faults.h"
#include "StandIns/Proof/Workload.h"

#include <map>
#include <string>
#include <vector>

namespace sardineford::standins {

/// One of the deployments below examples/. Its times are scaled down for test
/// runs.
struct ExampleDeployment {
  std::string Name;
  std::string Pool;
  std::string Model;
  std::string Service;
  std::string OncePath;
  std::string Workspace;
  std::vector<std::string> FailureDomains;
  /// Engines reject orders with a stale fencing number.
  bool ChecksFencing = true;
};

ExampleDeployment nilebridge();
ExampleDeployment trinacria();

struct FaultRunOptions {
  std::string Programs;
  std::string Examples;
  std::string Folder;
  ExampleDeployment Example;
  uint64_t Seed = 1;
  /// Replaces the schedule generated from the seed, unless empty.
  FaultSchedule Schedule;
  /// Length of a generated schedule.
  Milliseconds Length{5'000};
  /// Values that replace settings of the daemons, by key, such as to disable a
  /// protection.
  std::map<std::string, std::string> SettingOverrides;
};

struct FaultRunResult {
  FaultSchedule Schedule;
  WorkloadCounts Counts;
  std::vector<Violation> Violations;
  size_t Events = 0;
  /// Times from the kill of a lease holder to the next holder's lease.
  std::vector<Milliseconds> Takeovers;
  /// Times from the publication of a generation to the last process that
  /// applied it.
  std::vector<Milliseconds> ApplyTimes;
  /// Error that ended the run early; empty if the run completed.
  std::string Failure;
};

/// Starts a deployment, runs the workload under the schedule's faults, stops
/// all processes and checks the history.
FaultRunResult runFaults(const FaultRunOptions &options);

} // namespace sardineford::standins
