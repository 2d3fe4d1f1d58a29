#pragma once

#include "Load/Run.h"
#include "Load/Scenario.h"
#include "StandIns/Proof/FaultRun.h"

#include <string>
#include <vector>

namespace sardineford::standins {

struct MixRunOptions {
  std::string Programs;
  std::string Examples;
  std::string Folder;
  ExampleDeployment Setup;
  /// Role policy: goodput, fixed or threshold.
  std::string Policy = "goodput";
  int InitialPrefill = 3;
  int Engines = 9;
  double TimeScale = 5;
  uint64_t Seed = 1;
  load::Scenario Scenario;
};

struct MixRunResult {
  load::Summary All;
  std::map<std::string, load::Summary> Kinds;
  uint64_t RoleChanges = 0;
  std::string Failure;
};

/// Runs a scenario on a deployment of real processes.
MixRunResult runMix(const MixRunOptions &options);

/// Returns a scenario of long prompts, long outputs and short questions with
/// one phase for each ratio of prefill time to total engine time.
load::Scenario swingScenario(const ExampleDeployment &setup,
                             const std::string &name,
                             const std::vector<double> &prefillRatios,
                             double utilization, int engines, double timeScale,
                             bool step);

/// Returns the ratio of offered requests that the optimal role counts of each
/// phase serve if role changes take no time: an upper bound for each policy.
double offlineUpperBound(const load::Scenario &s, int engines,
                         double timeScale);

/// Returns the number of prefill engines that is optimal for the average mix of
/// a scenario.
int bestFixedPrefill(const load::Scenario &s, int engines, double timeScale);

} // namespace sardineford::standins
