#pragma once

#include "StandIns/Placement/FleetSimulation.h"

namespace sardineford::standins {

/// Long drafts, short questions and classifications of medium prompts, in
/// proportion to the number of engines.
std::vector<SimulatedClass> mixedLoad(double engines);

/// Long prompts with large shared parts, near the limit of the prefill engines,
/// and the engines that they run on.
std::vector<SimulatedClass> longPromptLoad(double engines);
SimulatedEngineSpec longPromptEngine();

/// The mix swings between questions and classifications every 2.8 s.
double swingingShape(const SimulatedClass &c, SimulatedTime t);

} // namespace sardineford::standins
