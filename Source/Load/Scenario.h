#pragma once

#include "Sardineford/Common/Time.h"

#include <string>
#include <vector>

namespace sardineford::load {

/// A kind of request in the mix.
struct RequestKind {
  std::string Name;
  std::string Workspace;
  /// Average lengths; each request has random lengths around them.
  double PromptTokens = 100;
  double MaxTokens = 64;
  Milliseconds Deadline{10'000};
  /// Number of shared prefixes, one of which begins each prompt; 0 for none.
  int Prefixes = 0;
};

/// Weight of a kind in the mix of a phase.
struct KindWeight {
  std::string Kind;
  double Weight = 0;
};

/// A part of a scenario. Rate and weights are interpolated linearly, over the
/// length of the phase, from those of the previous phase.
struct Phase {
  Milliseconds Length{10'000};
  double RequestsPerSecond = 1;
  std::vector<KindWeight> Mix;
  /// Uses the rate and weights of the phase from its start.
  bool Step = false;
};

/// A fault to inject at a given time; the benchmark injects it.
struct TimedFault {
  Milliseconds At{0};
  std::string Kind;
  Milliseconds Length{0};
};

/// A load scenario; docs/SCENARIOS.md describes the file format.
struct Scenario {
  std::string Name;
  std::string Model;
  std::vector<RequestKind> Kinds;
  std::vector<Phase> Phases;
  std::vector<TimedFault> Faults;
};

/// Parses a scenario. Throws Error(BadSettings).
Scenario parseScenario(const std::string &text, const std::string &file);

/// One request to send, with its time from the start of the scenario.
struct PlannedRequest {
  Milliseconds At{0};
  size_t Kind = 0;
  uint64_t PromptTokens = 0;
  uint64_t MaxTokens = 0;
  int Prefix = 0;
};

/// Returns all requests of a scenario, with Poisson arrivals; the result
/// depends on the scenario and the seed only.
std::vector<PlannedRequest> planRequests(const Scenario &s, uint64_t seed);

/// Returns the sum of the lengths of all phases.
Milliseconds totalLength(const Scenario &s);

} // namespace sardineford::load
