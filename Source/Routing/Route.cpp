#include "Sardineford/Routing/Route.h"

#include "Sardineford/Common/Random.h"

#include <algorithm>

namespace sardineford::routing {

namespace {

constexpr size_t AffinityCandidates = 2;
constexpr size_t RandomCandidates = 2;
/// Weight of the delay that a prefill adds to one running sequence.
constexpr double SequenceDelayWeight = 0.1;
/// Prompt tokens of the prefill that an engine has started and finishes before
/// a request with priority.
constexpr uint64_t StartedPrefillTokens = 4'096;
/// Ratio of a sequence's steps that coincide with prefills that arrive later.
constexpr double LaterPrefillStepRatio = 0.5;
constexpr double ReplaceScoreFactor = 0.97;

/// Candidate engines without duplicates, in the order in which they are added.
struct Candidates {
  std::vector<size_t> Indices;

  void add(size_t i) {
    if (std::find(Indices.begin(), Indices.end(), i) == Indices.end())
      Indices.push_back(i);
  }
};

std::vector<size_t> availableEngines(const PoolView &view) {
  std::vector<size_t> out;
  for (size_t i = 0; i < view.Engines.size(); ++i)
    if (acceptsWork(view.Engines[i]))
      out.push_back(i);
  return out;
}

std::vector<size_t> withoutRole(const PoolView &view,
                                const std::vector<size_t> &from,
                                EngineRole excluded) {
  std::vector<size_t> out;
  for (size_t i : from)
    if (view.Engines[i].Role != excluded)
      out.push_back(i);
  return out;
}

void addRandom(Candidates &to, const std::vector<size_t> &from, size_t n,
               std::mt19937_64 &random) {
  if (from.empty())
    return;
  std::uniform_int_distribution<size_t> pick(0, from.size() - 1);
  for (size_t i = 0; i < n; ++i)
    to.add(from[pick(random)]);
}

void addByAffinity(Candidates &to, const PoolView &view,
                   std::vector<size_t> from, uint64_t affinity) {
  auto score = [&](size_t i) {
    return rendezvousScore(affinity, view.Engines[i].Name);
  };
  std::sort(from.begin(), from.end(),
            [&](size_t a, size_t b) { return score(a) > score(b); });
  from.resize(std::min(from.size(), AffinityCandidates));
  for (size_t i : from)
    to.add(i);
}

uint64_t cachedTokens(const PoolView &view, size_t i,
                      const RequestShape &shape) {
  const std::vector<uint64_t> &cached = view.Engines[i].Prefixes;
  uint64_t pieces = 0;
  for (uint64_t hash : shape.PrefixHashes) {
    if (std::find(cached.begin(), cached.end(), hash) == cached.end())
      break;
    ++pieces;
  }
  return std::min(pieces * view.Speeds.TokensPerPiece, shape.PromptTokens);
}

/// Prompt tokens prefilled per second while the engine also decodes: each step
/// prefills one chunk and generates a token for every running sequence.
double effectivePrefillRate(const PoolView &view, size_t i) {
  const EngineView &e = view.Engines[i];
  double rate = prefillRate(view.Speeds, e.Role);
  auto running = static_cast<double>(e.Running + e.LocalRunning);
  if (e.Role == EngineRole::Prefill || running == 0)
    return rate;
  auto chunk = static_cast<double>(chunkTokens(view.Speeds, e.Role));
  Seconds step = stepTime(view.Speeds, running);
  return chunk / (chunk / rate + step.count());
}

/// Time until the prompt is prefilled, with the prompts queued before it.
Seconds timeToPrefill(const PoolView &view, size_t i,
                      const RequestShape &shape) {
  const EngineView &e = view.Engines[i];
  uint64_t queued = e.QueuedPrefillTokens + e.LocalPrefillTokens;
  if (shape.HasPriority)
    queued = std::min(queued, StartedPrefillTokens);
  uint64_t uncached = shape.PromptTokens - cachedTokens(view, i, shape);
  return Seconds(static_cast<double>(queued + uncached) /
                 effectivePrefillRate(view, i));
}

/// Time until the engine's batch has a free place for one more sequence.
Seconds slotWait(const PoolView &view, size_t i, const RequestShape &shape) {
  const EngineView &e = view.Engines[i];
  auto limit = static_cast<double>(batchLimit(view.Speeds, e.Role));
  auto load = static_cast<double>(e.Running + e.Waiting + e.LocalRunning);
  if (load < limit)
    return Seconds(0);
  // A full batch ends one sequence per interval, on average.
  Seconds slotInterval =
      stepTime(view.Speeds, limit) * shape.ExpectedOutputTokens / limit;
  return shape.HasPriority ? slotInterval : slotInterval * (load - limit + 1);
}

Seconds decodeStepTime(const PoolView &view, size_t i) {
  const EngineView &e = view.Engines[i];
  auto limit = static_cast<double>(batchLimit(view.Speeds, e.Role));
  auto load = static_cast<double>(e.Running + e.LocalRunning + 1);
  return stepTime(view.Speeds, std::min(load, limit));
}

/// Time that prefills at an engine add to a sequence that it decodes. An engine
/// with queued prefills is expected to receive more while the sequence runs.
Seconds prefillInterference(const PoolView &view, size_t i,
                            double outputTokens) {
  const EngineView &e = view.Engines[i];
  auto queued =
      static_cast<double>(e.QueuedPrefillTokens + e.LocalPrefillTokens);
  if (queued == 0)
    return Seconds(0);
  auto chunk = static_cast<double>(chunkTokens(view.Speeds, e.Role));
  double steps = std::min(
      outputTokens, queued / chunk + outputTokens * LaterPrefillStepRatio);
  return Seconds(steps * chunk / prefillRate(view.Speeds, e.Role));
}

/// Total delay of the running sequences at the engine that prefills a prompt.
Seconds delayOfRunningSequences(const PoolView &view, size_t i,
                                const RequestShape &shape) {
  const EngineView &e = view.Engines[i];
  auto uncached =
      static_cast<double>(shape.PromptTokens - cachedTokens(view, i, shape));
  auto running = static_cast<double>(e.Running + e.LocalRunning);
  return Seconds(uncached / prefillRate(view.Speeds, e.Role) * running);
}

Route estimateRoute(const PoolView &view, size_t prefill, size_t decode,
                    const RequestShape &shape) {
  Route r;
  r.Prefill = prefill;
  r.Decode = decode;
  r.CachedTokens = cachedTokens(view, prefill, shape);
  r.TimeToFirstToken = timeToPrefill(view, prefill, shape);
  if (r.hasSeparatePrefill())
    r.TimeToFirstToken += view.Speeds.KvTransferTimePerToken *
                          static_cast<double>(shape.PromptTokens);
  Seconds step = decodeStepTime(view, decode);
  r.TimeToFirstToken += slotWait(view, decode, shape) + step;
  r.TimeToCompletion = r.TimeToFirstToken + step * shape.ExpectedOutputTokens;
  r.TimeToCompletion +=
      prefillInterference(view, decode, shape.ExpectedOutputTokens);
  r.Score = r.TimeToCompletion + r.TimeToFirstToken;
  if (view.Engines[prefill].Role != EngineRole::Prefill)
    r.Score +=
        delayOfRunningSequences(view, prefill, shape) * SequenceDelayWeight;
  return r;
}

/// Random engines that may decode, none of them in the prefill role unless all
/// available engines are. chooseRoute() considers the prefill candidates for
/// decoding as well.
Candidates decodeCandidates(const PoolView &view,
                            const std::vector<size_t> &all,
                            std::mt19937_64 &random) {
  std::vector<size_t> decoders = withoutRole(view, all, EngineRole::Prefill);
  Candidates out;
  addRandom(out, decoders.empty() ? all : decoders, RandomCandidates + 1,
            random);
  return out;
}

Candidates prefillCandidates(const PoolView &view,
                             const std::vector<size_t> &all,
                             const RequestShape &shape,
                             std::mt19937_64 &random) {
  std::vector<size_t> prefillers = withoutRole(view, all, EngineRole::Decode);
  const std::vector<size_t> &from = prefillers.empty() ? all : prefillers;
  Candidates out;
  addByAffinity(out, view, from, shape.Affinity);
  for (size_t i : all)
    if (cachedTokens(view, i, shape) > 0)
      out.add(i);
  addRandom(out, from, RandomCandidates, random);
  return out;
}

/// Returns whether a route replaces the best one so far. The margin keeps the
/// first of nearly equal candidates, whose order is partly random. Without the
/// margin, all processes would choose the same engine.
bool isBetter(const Route &route, const Route &best) {
  return route.Score < best.Score * ReplaceScoreFactor;
}

} // namespace

std::string_view toString(EngineRole role) {
  switch (role) {
  case EngineRole::Prefill:
    return "prefill";
  case EngineRole::Decode:
    return "decode";
  case EngineRole::Mixed:
    return "mixed";
  }
  return "mixed";
}

EngineRole parseRole(std::string_view text) {
  if (text == "prefill")
    return EngineRole::Prefill;
  return text == "decode" ? EngineRole::Decode : EngineRole::Mixed;
}

double prefillRate(const EngineSpeeds &speeds, EngineRole role) {
  if (role == EngineRole::Prefill)
    return speeds.PrefillTokensPerSecond;
  return speeds.PrefillTokensPerSecond * speeds.PrefillShareInDecode;
}

uint64_t chunkTokens(const EngineSpeeds &speeds, EngineRole role) {
  return role == EngineRole::Prefill ? speeds.PrefillRoleChunk
                                     : speeds.DecodeRoleChunk;
}

Seconds stepTime(const EngineSpeeds &speeds, double running) {
  return speeds.DecodeStep + speeds.DecodeStepPerSequence * running;
}

uint64_t batchLimit(const EngineSpeeds &speeds, EngineRole role) {
  return role == EngineRole::Prefill ? speeds.MaxBatchPrefill : speeds.MaxBatch;
}

bool acceptsWork(const EngineView &engine) {
  return engine.State == EngineState::Serving && !engine.Ejected;
}

uint64_t rendezvousScore(uint64_t affinity, std::string_view name) {
  return hash64(name, affinity);
}

std::optional<Route> chooseRoute(const PoolView &view,
                                 const RequestShape &shape,
                                 std::mt19937_64 &random) {
  std::vector<size_t> all = availableEngines(view);
  if (all.empty())
    return std::nullopt;
  Candidates decoders = decodeCandidates(view, all, random);
  Candidates prefillers = prefillCandidates(view, all, shape, random);
  std::optional<Route> best;
  auto consider = [&](size_t prefill, size_t decode) {
    Route r = estimateRoute(view, prefill, decode, shape);
    if (!best || isBetter(r, *best))
      best = r;
  };
  for (size_t prefill : prefillers.Indices)
    consider(prefill, prefill);
  for (size_t decode : decoders.Indices) {
    consider(decode, decode);
    for (size_t prefill : prefillers.Indices)
      consider(prefill, decode);
  }
  return best;
}

} // namespace sardineford::routing
