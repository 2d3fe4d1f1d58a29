#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Http/Message.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sardineford::routing {

enum class EngineRole { Prefill, Decode, Mixed };

std::string_view toString(EngineRole role);
EngineRole parseRole(std::string_view text);

enum class EngineState { Serving, Draining, Changing, Leaving, Lost };

/// Speeds of the engines of one pool.
struct EngineSpeeds {
  double PrefillTokensPerSecond = 10'000;
  /// Prefill speed in the decode and mixed roles, as a ratio of the prefill
  /// role's.
  double PrefillShareInDecode = 0.6;
  Seconds DecodeStep{0.020};
  Seconds DecodeStepPerSequence{0.001};
  uint64_t MaxBatch = 32;
  uint64_t MaxBatchPrefill = 4;
  /// Prompt tokens in one piece (block) of the key-value cache.
  uint64_t TokensPerPiece = 2'000;
  /// Prompt tokens that one step prefills beside the running sequences, in the
  /// prefill role and in the other roles.
  uint64_t PrefillRoleChunk = 2'048;
  uint64_t DecodeRoleChunk = 256;
  Seconds KvTransferTimePerToken{2e-6};
};

/// Snapshot of one engine in one process.
struct EngineView {
  std::string Name;
  http::Endpoint Address;
  std::string Incarnation;
  EngineRole Role = EngineRole::Mixed;
  EngineState State = EngineState::Serving;
  uint64_t QueuedPrefillTokens = 0;
  /// Sequences in the batch, and requests that wait for a place in it.
  uint64_t Running = 0;
  uint64_t Waiting = 0;
  /// Pieces (blocks) of the key-value cache.
  uint64_t UsedPieces = 0;
  uint64_t TotalPieces = 0;
  /// Age of the engine's report.
  Milliseconds Age{0};
  /// Excluded from role changes.
  bool Frozen = false;
  /// Hashes of prompt prefixes that the engine may have cached.
  std::vector<uint64_t> Prefixes;
  /// Work that the report does not include yet, extrapolated from the attempts
  /// of this process.
  uint64_t LocalPrefillTokens = 0;
  uint64_t LocalRunning = 0;
  /// Excluded from routing after failures.
  bool Ejected = false;
};

/// Snapshot of one pool in one process.
struct PoolView {
  std::string Pool;
  /// Lease epoch of the controller that published the pool's state.
  uint64_t Epoch = 0;
  EngineSpeeds Speeds;
  std::vector<EngineView> Engines;
  /// Entry processes that send requests to the pool.
  uint64_t Processes = 1;
};

/// Prompt tokens that an engine prefills per second in a role.
double prefillRate(const EngineSpeeds &speeds, EngineRole role);

/// Prompt tokens that an engine prefills in one step in a role.
uint64_t chunkTokens(const EngineSpeeds &speeds, EngineRole role);

/// Time between two tokens of a sequence while the given number of sequences
/// run.
Seconds stepTime(const EngineSpeeds &speeds, double running);

/// Maximum number of sequences in the batch of an engine in a role.
uint64_t batchLimit(const EngineSpeeds &speeds, EngineRole role);

} // namespace sardineford::routing
