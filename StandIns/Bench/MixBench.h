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
  /// goodput, fixed or threshold.
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

/// A mix of long prompts and long outputs whose prefill share, in engine time,
/// goes through the given shares one after the other.
load::Scenario swingScenario(const ExampleDeployment &setup,
                             const std::string &name,
                             const std::vector<double> &prefillShares,
                             double utilisation, int engines, double timeScale,
                             bool step);

/// Share of the offered requests that the best split of each moment could
/// serve if changes of role were free.
double offlineUpperBound(const load::Scenario &s, int engines,
                         double timeScale);

/// The fixed split that is best for the average mix of a scenario.
int bestFixedPrefill(const load::Scenario &s, int engines, double timeScale);

} // namespace sardineford::standins
