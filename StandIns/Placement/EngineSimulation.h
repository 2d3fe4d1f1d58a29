#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Fleet/WorkInFlight.h"
#include "Sardineford/Routing/View.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>

namespace sardineford::standins {

/// Time in a simulation, from its start.
using SimulatedTime = Seconds;

/// Speeds and capacities of the simulated engines.
struct SimulatedEngineSpec {
  unsigned Slots = 12;
  Seconds StepBase{0.003};
  Seconds StepPerSequence{0.00012};
  double PrefillTokensPerSecond = 92'000;
  /// Time for a million pairs of prompt tokens, which attention compares.
  Seconds PrefillPerMegaPairs{0.0007};
  /// Ratio of the prefill speed and of the chunk in the decode role to those in
  /// the prefill role.
  double DecodeRoleSpeedRatio = 0.5;
  double DecodeRoleChunkRatio = 0.25;
  double ChunkTokens = 2'048;
  /// Time of a request before its prefill can begin.
  Seconds Setup{0.060};
  unsigned TokensPerEvent = 11;
  double KvCacheTokens = 390'000;
};

/// A request inside a simulated engine.
struct SimulatedSequence {
  fleet::WorkPriority Priority = fleet::WorkPriority::Urgent;
  double PromptTokens = 0;
  double RemainingPrefill = 0;
  /// 0 for a prefill without a stream.
  unsigned Events = 0;
  unsigned EventsDone = 0;
  unsigned TokensOfEvent = 0;
  SimulatedTime LastEventAt{0};
  Seconds LongestPause{0};
  /// Called at the first event, or at the end of a prefill without a stream.
  std::function<void(SimulatedTime)> OnFirstEvent;
  std::function<void(SimulatedTime)> OnEnd;
};

using SimulatedSequencePtr = std::shared_ptr<SimulatedSequence>;

/// Simulates continuous batching in virtual time: each step prefills one chunk
/// and generates a token for every running sequence.
class EngineSimulation {
public:
  EngineSimulation(SimulatedEngineSpec spec, routing::EngineRole role)
      : Spec(spec), Role(role) {}

  void add(SimulatedSequencePtr s);
  /// Ends the step that is in progress and starts the next one. Returns the end
  /// of that one, or nothing if the engine is idle.
  std::optional<SimulatedTime> step(SimulatedTime now);
  bool isIdle() const { return Running.empty() && Waiting.empty(); }
  routing::EngineRole role() const { return Role; }

  /// Factor on the time of each step.
  double Slowdown = 1;

private:
  void admit();
  void endStep(SimulatedTime now);
  SimulatedSequencePtr nextPrefill() const;

  SimulatedEngineSpec Spec;
  routing::EngineRole Role;
  std::list<SimulatedSequencePtr> Waiting;
  std::list<SimulatedSequencePtr> Running;
  /// Prefill of the step in progress.
  SimulatedSequencePtr Prefilling;
  /// The prompt that was prefilled last, maybe in part.
  SimulatedSequencePtr Started;
  double ChunkTokens = 0;
};

} // namespace sardineford::standins
