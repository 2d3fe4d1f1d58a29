#pragma once

#include "Sardineford/Common/Time.h"

#include <string>
#include <vector>

namespace sardineford::load {

/// A kind of request in the mix.
struct RequestKind {
  std::string Name;
  std::string Workspace;
  /// Average lengths; each request's are spread around them.
  double PromptTokens = 100;
  double MaxTokens = 64;
  Milliseconds Deadline{10'000};
  /// Prompts of a kind begin with one of this many common prefixes; 0 for none.
  int Prefixes = 0;
};

/// Share of a kind within a phase.
struct KindShare {
  std::string Kind;
  double Weight = 0;
};

/// A part of a scenario. Rate and weights go from those of the phase before to
/// those of this one over its length.
struct Phase {
  Milliseconds Length{10'000};
  double RequestsPerSecond = 1;
  std::vector<KindShare> Mix;
  /// Jumps to its rate and weights at once.
  bool Step = false;
};

/// A fault to bring at a time; carried out by the bench.
struct TimedFault {
  Milliseconds At{0};
  std::string What;
  Milliseconds Length{0};
};

/// What docs/SCENARIOS.md describes.
struct Scenario {
  std::string Name;
  std::string Model;
  std::vector<RequestKind> Kinds;
  std::vector<Phase> Phases;
  std::vector<TimedFault> Faults;
};

/// Reads a scenario. Throws Error(BadSettings).
Scenario parseScenario(const std::string &text, const std::string &file);

/// One request to be sent.
struct PlannedRequest {
  Milliseconds At{0};
  size_t Kind = 0;
  uint64_t PromptTokens = 0;
  uint64_t MaxTokens = 0;
  int Prefix = 0;
};

/// All requests of a scenario, with Poisson arrivals; the same for each seed.
std::vector<PlannedRequest> planRequests(const Scenario &s, uint64_t seed);

/// Length of all phases.
Milliseconds lengthOf(const Scenario &s);

} // namespace sardineford::load
