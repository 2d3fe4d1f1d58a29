#include "Sardineford/Routing/Route.h"

#include "Sardineford/Common/Random.h"

#include <algorithm>

namespace sardineford::routing {

namespace {

constexpr size_t AffinityCandidates = 2;
constexpr size_t RandomCandidates = 2;
/// Weight of the delay that a prefill causes to one running sequence.
constexpr double DelayOfOthers = 0.1;
/// Prefill that an engine has begun when a request that goes first arrives.
constexpr uint64_t TokensAtHand = 4'096;
/// Share of an answer's steps that share the engine with prefills to come.
constexpr double StepsWithLaterPrefill = 0.5;
constexpr double ClearlyBetter = 0.97;

/// Candidates without repeats, the preferred ones first.
struct Candidates {
  std::vector<size_t> Order;

  void add(size_t i) {
    if (std::find(Order.begin(), Order.end(), i) == Order.end())
      Order.push_back(i);
  }
};

std::vector<size_t> workers(const PoolView &view) {
  std::vector<size_t> out;
  for (size_t i = 0; i < view.Engines.size(); ++i)
    if (acceptsWork(view.Engines[i]))
      out.push_back(i);
  return out;
}

std::vector<size_t> withRole(const PoolView &view,
                             const std::vector<size_t> &from,
                             EngineRole without) {
  std::vector<size_t> out;
  for (size_t i : from)
    if (view.Engines[i].Role != without)
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
  const std::vector<uint64_t> &known = view.Engines[i].Prefixes;
  uint64_t pieces = 0;
  for (uint64_t hash : shape.PrefixHashes) {
    if (std::find(known.begin(), known.end(), hash) == known.end())
      break;
    ++pieces;
  }
  return std::min(pieces * view.Speeds.TokensPerPiece, shape.PromptTokens);
}

/// Prompt tokens a second beside the sequences that run at the engine: each
/// step prefills one chunk and generates a token for every sequence.
double rateBeside(const PoolView &view, size_t i) {
  const EngineView &e = view.Engines[i];
  double rate = prefillRate(view.Speeds, e.Role);
  auto running = static_cast<double>(e.Running + e.LocalRunning);
  if (e.Role == EngineRole::Prefill || running == 0)
    return rate;
  auto chunk = static_cast<double>(chunkTokens(view.Speeds, e.Role));
  Seconds step = stepTime(view.Speeds, running);
  return chunk / (chunk / rate + step.count());
}

Seconds prefillWait(const PoolView &view, size_t i, const RequestShape &shape) {
  const EngineView &e = view.Engines[i];
  uint64_t queued = e.QueuedPrefillTokens + e.LocalPrefillTokens;
  if (shape.HasPriority)
    queued = std::min(queued, TokensAtHand);
  uint64_t missing = shape.PromptTokens - cachedTokens(view, i, shape);
  return Seconds(static_cast<double>(queued + missing) / rateBeside(view, i));
}

/// Time until the engine has a place in its batch for one more sequence.
Seconds slotWait(const PoolView &view, size_t i, const RequestShape &shape) {
  const EngineView &e = view.Engines[i];
  auto limit = static_cast<double>(batchLimit(view.Speeds, e.Role));
  auto load = static_cast<double>(e.Running + e.Waiting + e.LocalRunning);
  if (load < limit)
    return Seconds(0);
  // Sequences end evenly over the time that one takes.
  Seconds each =
      stepTime(view.Speeds, limit) * shape.ExpectedOutputTokens / limit;
  return shape.HasPriority ? each : each * (load - limit + 1);
}

Seconds decodeStep(const PoolView &view, size_t i) {
  const EngineView &e = view.Engines[i];
  auto limit = static_cast<double>(batchLimit(view.Speeds, e.Role));
  auto load = static_cast<double>(e.Running + e.LocalRunning + 1);
  return stepTime(view.Speeds, std::min(load, limit));
}

/// Time that prefills at an engine add to a sequence that decodes there. Where
/// some are queued now, more will come while the sequence runs.
Seconds interference(const PoolView &view, size_t i, double outputTokens) {
  const EngineView &e = view.Engines[i];
  auto queued =
      static_cast<double>(e.QueuedPrefillTokens + e.LocalPrefillTokens);
  if (queued == 0)
    return Seconds(0);
  auto chunk = static_cast<double>(chunkTokens(view.Speeds, e.Role));
  double steps = std::min(
      outputTokens, queued / chunk + outputTokens * StepsWithLaterPrefill);
  return Seconds(steps * chunk / prefillRate(view.Speeds, e.Role));
}

/// Delay, in sum, of the sequences that run where a prompt is prefilled.
Seconds delayOfOthers(const PoolView &view, size_t i,
                      const RequestShape &shape) {
  const EngineView &e = view.Engines[i];
  auto missing =
      static_cast<double>(shape.PromptTokens - cachedTokens(view, i, shape));
  auto running = static_cast<double>(e.Running + e.LocalRunning);
  return Seconds(missing / prefillRate(view.Speeds, e.Role) * running);
}

Route estimate(const PoolView &view, size_t prefill, size_t decode,
               const RequestShape &shape) {
  Route r;
  r.Prefill = prefill;
  r.Decode = decode;
  r.CachedTokens = cachedTokens(view, prefill, shape);
  r.TimeToFirstToken = prefillWait(view, prefill, shape);
  if (r.hasSeparatePrefill())
    r.TimeToFirstToken += view.Speeds.KvTransferTimePerToken *
                          static_cast<double>(shape.PromptTokens);
  Seconds step = decodeStep(view, decode);
  r.TimeToFirstToken += slotWait(view, decode, shape) + step;
  r.TimeToCompletion = r.TimeToFirstToken + step * shape.ExpectedOutputTokens;
  r.TimeToCompletion += interference(view, decode, shape.ExpectedOutputTokens);
  r.Score = r.TimeToCompletion + r.TimeToFirstToken;
  if (view.Engines[prefill].Role != EngineRole::Prefill)
    r.Score += delayOfOthers(view, prefill, shape) * DelayOfOthers;
  return r;
}

/// The engines that may decode: those not in the prefill role while any is
/// there, few of them at random beside those that prefill.
Candidates decodeCandidates(const PoolView &view,
                            const std::vector<size_t> &all,
                            std::mt19937_64 &random) {
  std::vector<size_t> decoders = withRole(view, all, EngineRole::Prefill);
  Candidates out;
  addRandom(out, decoders.empty() ? all : decoders, RandomCandidates + 1,
            random);
  return out;
}

Candidates prefillCandidates(const PoolView &view,
                             const std::vector<size_t> &all,
                             const RequestShape &shape,
                             std::mt19937_64 &random) {
  std::vector<size_t> prefillers = withRole(view, all, EngineRole::Decode);
  const std::vector<size_t> &from = prefillers.empty() ? all : prefillers;
  Candidates out;
  addByAffinity(out, view, from, shape.Affinity);
  for (size_t i : all)
    if (cachedTokens(view, i, shape) > 0)
      out.add(i);
  addRandom(out, from, RandomCandidates, random);
  return out;
}

/// A later candidate must be clearly better. Without that, equal engines would
/// always lose to the first of them, and all nodes would choose the same one.
bool isBetter(const Route &a, const Route &b) {
  return a.Score < b.Score * ClearlyBetter;
}

} // namespace

std::string_view toString(EngineRole r) {
  switch (r) {
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

double prefillRate(const EngineSpeeds &s, EngineRole r) {
  if (r == EngineRole::Prefill)
    return s.PrefillTokensPerSecond;
  return s.PrefillTokensPerSecond * s.PrefillShareInDecode;
}

uint64_t chunkTokens(const EngineSpeeds &s, EngineRole r) {
  return r == EngineRole::Prefill ? s.PrefillRoleChunk : s.DecodeRoleChunk;
}

Seconds stepTime(const EngineSpeeds &s, double running) {
  return s.DecodeStep + s.DecodeStepPerSequence * running;
}

uint64_t batchLimit(const EngineSpeeds &s, EngineRole r) {
  return r == EngineRole::Prefill ? s.MaxBatchPrefill : s.MaxBatch;
}

bool acceptsWork(const EngineView &e) {
  return e.State == EngineState::Serving && !e.Ejected;
}

uint64_t rendezvousScore(uint64_t affinity, std::string_view name) {
  return hash64(name, affinity);
}

std::optional<Route> chooseRoute(const PoolView &view,
                                 const RequestShape &shape,
                                 std::mt19937_64 &random) {
  std::vector<size_t> all = workers(view);
  if (all.empty())
    return std::nullopt;
  Candidates decoders = decodeCandidates(view, all, random);
  Candidates prefillers = prefillCandidates(view, all, shape, random);
  std::optional<Route> best;
  auto consider = [&](size_t prefill, size_t decode) {
    Route r = estimate(view, prefill, decode, shape);
    if (!best || isBetter(r, *best))
      best = r;
  };
  for (size_t prefill : prefillers.Order)
    consider(prefill, prefill);
  for (size_t decode : decoders.Order) {
    consider(decode, decode);
    for (size_t prefill : prefillers.Order)
      consider(prefill, decode);
  }
  return best;
}

} // namespace sardineford::routing
