#pragma once

#include "Sardineford/Routing/View.h"

#include <optional>
#include <random>

namespace sardineford::routing {

/// Properties of a request that affect its route.
struct RequestShape {
  uint64_t PromptTokens = 0;
  double ExpectedOutputTokens = 0;
  /// Hashes of the prompt's prefixes, each one piece longer than the one
  /// before.
  std::vector<uint64_t> PrefixHashes;
  /// Precedes the requests that wait at an engine, but not the prefill that the
  /// engine has already started.
  bool HasPriority = false;
  /// Rendezvous hashing key: hash of workspace and first prefix, the same in
  /// all processes.
  uint64_t Affinity = 0;
};

/// The engines chosen for a request, with the estimates for them.
struct Route {
  /// Index of the engine that prefills; equal to Decode when one engine does
  /// both.
  size_t Prefill = 0;
  size_t Decode = 0;
  Seconds TimeToFirstToken{0};
  Seconds TimeToCompletion{0};
  /// Cost by which routes are compared: the times of this request and the delay
  /// of the sequences that run at the prefilling engine. The lowest wins.
  Seconds Score{0};
  uint64_t CachedTokens = 0;

  bool hasSeparatePrefill() const { return Prefill != Decode; }
};

/// Chooses the route with the lowest score among a few candidates: the engines
/// that rendezvous hashing prefers, those with a cached prefix, and some random
/// ones, so that processes with the same stale report do not all choose the
/// same engine. Returns nothing if no engine accepts new work.
std::optional<Route> chooseRoute(const PoolView &view,
                                 const RequestShape &shape,
                                 std::mt19937_64 &random);

/// Returns whether an engine accepts new work.
bool acceptsWork(const EngineView &engine);

/// Rendezvous score of an engine for an affinity key; the highest wins.
uint64_t rendezvousScore(uint64_t affinity, std::string_view name);

} // namespace sardineford::routing
