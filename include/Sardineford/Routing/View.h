#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Http/Message.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sardineford::routing {

enum class EngineRole { Prefill, Decode, Mixed };

std::string_view toString(EngineRole r);
EngineRole parseRole(std::string_view text);

enum class EngineState { Serving, Draining, Changing, Leaving, Lost };

/// Speeds of the engines of one pool, from its configuration.
struct EngineSpeeds {
  double PrefillTokensPerSecond = 10'000;
  double PrefillShareInDecode = 0.6;
  Seconds DecodeStep{0.020};
  Seconds DecodeStepPerSequence{0.001};
  uint64_t MaxBatch = 32;
  uint64_t MaxBatchPrefill = 4;
  uint64_t TokensPerPiece = 2'000;
  /// Prompt tokens that one step prefills beside running sequences.
  uint64_t PrefillRoleChunk = 2'048;
  uint64_t DecodeRoleChunk = 256;
  Seconds KvTransferTimePerToken{2e-6};
};

/// What one process knows of one engine.
struct EngineView {
  std::string Name;
  http::Endpoint Address;
  std::string Incarnation;
  EngineRole Role = EngineRole::Mixed;
  EngineState State = EngineState::Serving;
  uint64_t QueuedPrefillTokens = 0;
  uint64_t Running = 0;
  uint64_t Waiting = 0;
  uint64_t UsedPieces = 0;
  uint64_t TotalPieces = 0;
  /// Age of the reported figures.
  Milliseconds Age{0};
  bool Frozen = false;
  /// Hashes of prompt prefixes that the engine may have cached.
  std::vector<uint64_t> Prefixes;
  /// This process's own work that the report does not show yet.
  uint64_t LocalPrefillTokens = 0;
  uint64_t LocalRunning = 0;
  /// Left out after failures.
  bool Ejected = false;
};

/// What one process knows of one pool.
struct PoolView {
  std::string Pool;
  uint64_t Epoch = 0;
  EngineSpeeds Speeds;
  std::vector<EngineView> Engines;
  /// Entry processes that send to the pool.
  uint64_t Nodes = 1;
};

/// Prompt tokens that an engine prefills a second in its role.
double prefillRate(const EngineSpeeds &s, EngineRole r);

/// Prompt tokens that one step prefills in a role.
uint64_t chunkTokens(const EngineSpeeds &s, EngineRole r);

/// Time between tokens with a number of sequences running.
Seconds stepTime(const EngineSpeeds &s, double running);

/// Sequences that an engine runs together in its role.
uint64_t batchLimit(const EngineSpeeds &s, EngineRole r);

} // namespace sardineford::routing
