#pragma once

#include "Sardineford/Common/Async.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sardineford::standins {

/// Speeds and capacities of an engine at time scale 1. A piece is a block of
/// the key-value cache.
struct EngineSpeed {
  double PrefillTokensPerSecond = 10'000;
  Microseconds StepBase{20'000};
  Microseconds StepPerSequence{1'000};
  uint64_t TotalPieces = 120;
  uint64_t TokensPerPiece = 2'000;
  Microseconds KvImportPerThousandTokens{2'000};
  /// Ratio of the prefill speed in the decode and in the mixed role to the
  /// speed in the prefill role.
  double DecodeRolePrefillRatio = 0.6;
  double MixedRolePrefillRatio = 0.85;
  size_t MaxBatchPrefill = 4;
  size_t MaxBatchDecode = 32;
  size_t MaxBatchMixed = 16;
  uint64_t PrefillRoleChunk = 2'048;
  uint64_t DecodeRoleChunk = 256;
  uint64_t MixedRoleChunk = 512;
};

/// One request inside the engine.
struct Sequence {
  std::string AttemptId;
  std::string RequestId;
  std::string Model;
  uint64_t PromptHash = 0;
  std::vector<uint64_t> PrefixHashes;
  uint64_t PromptTokens = 0;
  uint64_t RemainingPrefillTokens = 0;
  uint64_t CachedTokens = 0;
  /// Index of the next token to generate, from the start of the completion.
  uint64_t NextToken = 0;
  /// Index of the first token that this engine generates.
  uint64_t FirstToken = 0;
  uint64_t EndToken = 0;
  bool PrefillOnly = false;
  int Priority = 0;
  uint64_t Arrival = 0;
  bool Prefilled = false;
  bool Finished = false;
  bool Cancelled = false;
  /// Whether the connection that receives the tokens is open.
  bool ReaderConnected = false;
  MonoTime DisconnectedAt{};
  /// Cancelled to wake waiters when a token is generated or the state changes.
  std::shared_ptr<boost::asio::steady_timer> Changed;
};

using SequencePtr = std::shared_ptr<Sequence>;

enum class EngineRole { Prefill, Decode, Mixed };

/// Current load of the engine, without the delay of its reports.
struct BatchLoad {
  uint64_t QueuedPrefillTokens = 0;
  uint64_t Running = 0;
  uint64_t Waiting = 0;
  uint64_t UsedPieces = 0;
};

/// Simulates continuous batching: each step prefills one chunk and generates
/// one token for every running sequence.
class Batch {
public:
  Batch(IoContext &io, EngineSpeed speed, double timeScale);

  void add(SequencePtr s);
  void cancel(const SequencePtr &s);
  /// Returns nullptr for an unknown attempt.
  SequencePtr find(const std::string &attempt) const;
  void remove(const std::string &attempt);
  /// Cancels and returns all running and waiting sequences.
  std::vector<SequencePtr> cancelAll();

  BatchLoad load() const;
  size_t active() const { return Running.size() + Waiting.size(); }
  std::vector<uint64_t> cachedPrefixes() const;

  EngineRole Role = EngineRole::Mixed;
  /// Factor on the time of each step; set by fault injection.
  double Slowdown = 1;

  MonoClock::duration scaled(Microseconds d) const;
  const EngineSpeed &speed() const { return Speed; }

private:
  Awaitable<void> run();
  void admit();
  uint64_t cachedTokens(const Sequence &s);
  void addToCache(const Sequence &s);
  SequencePtr nextPrefill() const;
  Microseconds prefillTime(uint64_t tokens) const;
  void generateTokens();
  void cancelAbandoned();
  uint64_t piecesOf(const Sequence &s) const;
  size_t maxBatch() const;
  uint64_t chunk() const;

  IoContext &Io;
  EngineSpeed Speed;
  double TimeScale;
  std::list<SequencePtr> Waiting;
  std::list<SequencePtr> Running;
  std::map<std::string, SequencePtr> SequencesByAttempt;
  std::deque<uint64_t> PrefixesByAge;
  /// Number of uses by prefix hash.
  std::map<uint64_t, int> PrefixUses;
  boost::asio::steady_timer Wake;
  uint64_t Arrivals = 0;
};

} // namespace sardineford::standins
