#pragma once

#include "Sardineford/Routing/View.h"

#include <optional>
#include <random>

namespace sardineford::routing {

/// What routing needs to know of a request.
struct RequestShape {
  uint64_t PromptTokens = 0;
  double ExpectedOutputTokens = 0;
  /// Hashes of the prompt's prefixes, piece by piece.
  std::vector<uint64_t> PrefixHashes;
  /// Goes ahead of what waits at an engine, but for the work at hand.
  bool HasPriority = false;
  /// Hash of workspace and first prefix; the same on every node.
  uint64_t Affinity = 0;
};

/// Where a request goes.
struct Route {
  /// Index of the engine that prefills; equal to Decode when one does both.
  size_t Prefill = 0;
  size_t Decode = 0;
  Seconds TimeToFirstToken{0};
  Seconds TimeToCompletion{0};
  /// What routes are compared by: own times and the delay of others.
  Seconds Score{0};
  uint64_t CachedTokens = 0;

  bool hasSeparatePrefill() const { return Prefill != Decode; }
};

/// Chooses engines by the least estimated time to the first token among few
/// candidates: those that the affinity names, those with a cached prefix, and
/// some at random, so that nodes that act on the same old report do not all
/// pick the same engine. Empty when no engine takes new work.
std::optional<Route> chooseRoute(const PoolView &view,
                                 const RequestShape &shape,
                                 std::mt19937_64 &random);

/// Whether an engine takes new work.
bool acceptsWork(const EngineView &e);

/// Rendezvous score of an engine for an affinity key; the highest wins.
uint64_t rendezvousScore(uint64_t affinity, std::string_view name);

} // namespace sardineford::routing
