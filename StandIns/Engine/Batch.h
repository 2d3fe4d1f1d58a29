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

/// Speeds of an engine at time scale 1.
struct EngineSpeed {
  double PrefillTokensPerSecond = 10'000;
  Microseconds StepBase{20'000};
  Microseconds StepPerSequence{1'000};
  uint64_t TotalPieces = 120;
  uint64_t TokensPerPiece = 2'000;
  Microseconds KvImportPerThousandTokens{2'000};
  /// Share of the prefill speed that remains in the decode role.
  double PrefillShareInDecode = 0.6;
  double PrefillShareInMixed = 0.85;
  size_t MaxBatchPrefill = 4;
  size_t MaxBatchDecode = 32;
  size_t MaxBatchMixed = 16;
  uint64_t ChunkPrefill = 2'048;
  uint64_t ChunkDecode = 256;
  uint64_t ChunkMixed = 512;
};

/// One request inside the engine.
struct Sequence {
  std::string Attempt;
  std::string Request;
  std::string Model;
  uint64_t PromptHash = 0;
  std::vector<uint64_t> PrefixHashes;
  uint64_t PromptTokens = 0;
  uint64_t PrefillLeft = 0;
  uint64_t CachedTokens = 0;
  /// Index of the next token to generate, counted from the answer's start.
  uint64_t NextToken = 0;
  /// Index of the first token that this engine generated.
  uint64_t FirstToken = 0;
  uint64_t EndToken = 0;
  bool PrefillOnly = false;
  int Priority = 0;
  uint64_t Arrival = 0;
  bool Prefilled = false;
  bool Finished = false;
  bool Cancelled = false;
  /// A reader is connected.
  bool Attached = false;
  MonoTime DetachedAt{};
  /// Fires when a token was generated or the state changed.
  std::shared_ptr<boost::asio::steady_timer> Changed;
};

using SequencePtr = std::shared_ptr<Sequence>;

enum class EngineRole { Prefill, Decode, Mixed };

/// What the engine would report of its load now.
struct BatchLoad {
  uint64_t QueuedPrefillTokens = 0;
  uint64_t Running = 0;
  uint64_t Waiting = 0;
  uint64_t UsedPieces = 0;
};

/// Continuous batching: each step prefills one chunk and generates one token
/// for every running sequence.
class Batch {
public:
  Batch(IoContext &io, EngineSpeed speed, double timeScale);

  void add(SequencePtr s);
  void cancel(const SequencePtr &s);
  /// Keeps the key-value cache of a finished prefill until it is taken.
  SequencePtr find(const std::string &attempt) const;
  void forget(const std::string &attempt);
  /// Cancels everything; returns what was cut off.
  std::vector<SequencePtr> cutAll();

  BatchLoad load() const;
  size_t active() const { return Running.size() + Waiting.size(); }
  std::vector<uint64_t> cachedPrefixes() const;

  EngineRole Role = EngineRole::Mixed;
  /// Multiplies the time of each step; faults set it.
  double Slowdown = 1;

  MonoClock::duration scaled(Microseconds d) const;
  const EngineSpeed &speed() const { return Speed; }

private:
  Awaitable<void> run();
  void admit();
  uint64_t cachedTokens(const Sequence &s);
  void remember(const Sequence &s);
  SequencePtr nextPrefill() const;
  Microseconds prefillTime(uint64_t tokens) const;
  void generateTokens();
  void dropAbandoned();
  uint64_t piecesOf(const Sequence &s) const;
  size_t maxBatch() const;
  uint64_t chunk() const;

  IoContext &Io;
  EngineSpeed Speed;
  double TimeScale;
  std::list<SequencePtr> Waiting;
  std::list<SequencePtr> Running;
  std::map<std::string, SequencePtr> Known;
  std::deque<uint64_t> PrefixOrder;
  std::map<uint64_t, int> Prefixes;
  boost::asio::steady_timer Wake;
  uint64_t Arrivals = 0;
};

} // namespace sardineford::standins
