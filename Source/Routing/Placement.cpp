#include "Sardineford/Routing/Placement.h"

#include <algorithm>
#include <map>

namespace sardineford::routing {

namespace {

/// Initial speeds of a mid-sized engine. Observed times replace them within
/// tens of requests.
constexpr Seconds InitialPrefillFixed{0.010};
constexpr Seconds InitialPrefillPerToken{20e-6};
constexpr Seconds InitialColocatedFixed{0.060};
constexpr Seconds InitialColocatedPerToken{40e-6};
constexpr Seconds InitialFetchFixed{0.060};
constexpr Seconds InitialFetchPerToken{1e-6};
constexpr double TypicalPromptTokens = 4'000;
constexpr Seconds InitialPaceFixed{0.040};
constexpr Seconds InitialPacePerRequest{0.001};
constexpr double TypicalRequests = 10;

/// Cost of a failure ratio of 1: a retry takes about as long as the first
/// attempt.
constexpr Seconds FailureCost{0.5};
/// Request and response cross the link to the other failure domain.
constexpr Seconds OtherDomainCost{0.003};
/// A transfer of the key-value cache occupies the links of both engines.
constexpr Seconds KvTransferCost{0.005};
/// Random variation of the estimates, so that processes with the same data do
/// not all choose the same engine.
constexpr double JitterRatio = 0.06;
/// Each request in flight delays the first event by about this time, because it
/// makes the engine's steps longer.
constexpr Seconds CostPerRequest{0.003};
/// Weight of the time to prefill shared parts again: it delays the requests
/// queued at this engine, and at those that must prefill the evicted parts
/// again.
constexpr double RecomputeWeight = 3;
/// Reduces the cost of the preferred engine by this multiple of the time to
/// prefill the shared parts. Each engine that prefills them as well takes the
/// memory and time from other parts, so that in overload all are read again and
/// again.
constexpr double PreferredEngineWeight = 2;
/// A prefill at a decode engine delays the events of every sequence that runs
/// there. Such a delay counts this fraction of a delay of the request's own
/// first event.
constexpr double SequenceDelayWeight = 0.25;
constexpr Seconds EjectionCost{5.0};
/// Cost of a stream that becomes late by a pause; about as much as its own
/// first event being late by its objective.
constexpr Seconds LatePauseCost{0.25};
/// Cost of an engine's first stream as a ratio of the stream's duration.
constexpr double OccupancyWeight = 0.2;
/// Mean wait at the prefill engines at which work there costs twice its time,
/// because it delays the prompts that arrive after it.
constexpr Seconds ScarcePrefillWait{0.17};
constexpr double MaxPrefillScarcity = 3;
/// Ratio of the objective from which a predicted pause may be over it: other
/// prompts arrive in the meantime.
constexpr double RiskyPauseRatio = 0.8;

Seconds penalty(const EngineCandidate &e) {
  Seconds cost = FailureCost * e.FailureRatio;
  if (!e.SameDomain)
    cost += OtherDomainCost;
  if (e.Ejected)
    cost += EjectionCost;
  return cost;
}

double uncachedTokens(const EngineCandidate &e, const RequestProfile &request) {
  return static_cast<double>(request.PromptTokens -
                             std::min(e.CachedTokens, request.PromptTokens));
}

Seconds prefillTime(const EngineCandidate &e, const RequestProfile &request,
                    const SpeedModel &model) {
  return model.estimate(e.PromptTokensAhead + uncachedTokens(e, request)) *
             e.Slowness +
         e.SlotWait;
}

/// Cost for other requests of prefilling shared parts that the engine has not
/// cached.
Seconds recomputeCost(const EngineCandidate &e, const RequestProfile &request,
                      const SpeedModel &model) {
  Seconds cost = model.perUnit() * static_cast<double>(e.UncachedSharedTokens) *
                 RecomputeWeight;
  if (e.IsPreferred)
    cost -= model.perUnit() * static_cast<double>(request.SharedTokens) *
            PreferredEngineWeight;
  return cost;
}

/// Cost of taking away an engine that could prefill without delaying a stream.
/// Long streams so share engines while their pauses allow it.
Seconds occupancyCost(const EngineCandidate &e, const RequestProfile &request) {
  return request.StreamDuration * OccupancyWeight /
         (1.0 + static_cast<double>(e.Requests));
}

Seconds inFlightCost(const EngineCandidate &e) {
  return CostPerRequest * static_cast<double>(e.Requests);
}

/// Returns the probability that a stream at the engine misses its objective for
/// pauses while this many prompt tokens are prefilled there.
double latePauseRisk(const EngineCandidate &e, double queuedTokens,
                     const RequestProfile &request,
                     const EngineSpeedModels &speeds) {
  if (request.PauseObjective <= Seconds(0))
    return 0;
  Seconds pause = speeds.Pace.estimate(static_cast<double>(e.Requests)) +
                  speeds.Colocated.perUnit() * queuedTokens * e.Slowness;
  double ratio = pause / request.PauseObjective;
  return std::clamp((ratio - RiskyPauseRatio) / (1 - RiskyPauseRatio), 0.0,
                    1.0);
}

/// Cost of the streams at a decode engine that become late by a pause if the
/// prompt is prefilled there.
Seconds latePauseCost(const EngineCandidate &e, const RequestProfile &request,
                      const EngineSpeedModels &speeds) {
  double before = latePauseRisk(e, e.QueuedPromptTokens, request, speeds);
  double after = latePauseRisk(
      e, e.QueuedPromptTokens + uncachedTokens(e, request), request, speeds);
  return LatePauseCost * static_cast<double>(e.Requests) * (after - before);
}

/// Returns the additional cost of work at the prefill engines as a multiple of
/// its time. Without it, short prompts take the prefill engines as long as
/// these are a little faster, and long prompts wait there.
double prefillScarcity(const std::vector<EngineCandidate> &engines,
                       const SpeedModel &model) {
  Seconds wait{0};
  double count = 0;
  for (const EngineCandidate &it : engines) {
    if (it.Role != EngineRole::Prefill)
      continue;
    wait += model.perUnit() * it.QueuedPromptTokens * it.Slowness;
    ++count;
  }
  if (count == 0)
    return 0;
  return std::min(MaxPrefillScarcity, wait / count / ScarcePrefillWait);
}

struct BestCandidate {
  std::optional<size_t> Index;
  Seconds Time{0};
  Seconds Work{0};
  Seconds Score{0};

  void consider(size_t i, Seconds time, Seconds work, Seconds score) {
    if (Index && Score <= score)
      return;
    Index = i;
    Time = time;
    Work = work;
    Score = score;
  }
};

/// Best engines of one software version for a separate prefill.
struct SeparatePrefill {
  BestCandidate Prefill;
  BestCandidate Fetch;
};

/// Considers a decode engine for a request whose prompt was prefilled apart.
void considerFetch(size_t i, const EngineCandidate &e,
                   const RequestProfile &request,
                   const EngineSpeedModels &speeds, double jitter,
                   BestCandidate &best) {
  Seconds t = speeds.Fetch.estimate(static_cast<double>(request.PromptTokens)) *
                  e.Slowness +
              inFlightCost(e) + e.SlotWait;
  best.consider(i, t, Seconds(0),
                t * jitter + penalty(e) + occupancyCost(e, request) +
                    LatePauseCost * latePauseRisk(e, e.QueuedPromptTokens,
                                                  request, speeds));
}

} // namespace

EngineSpeedModels initialSpeedModels() {
  return {
      SpeedModel(InitialPrefillFixed, InitialPrefillPerToken,
                 TypicalPromptTokens),
      SpeedModel(InitialColocatedFixed, InitialColocatedPerToken,
                 TypicalPromptTokens),
      SpeedModel(InitialFetchFixed, InitialFetchPerToken, TypicalPromptTokens),
      SpeedModel(InitialPaceFixed, InitialPacePerRequest, TypicalRequests)};
}

std::optional<PlacementChoice>
placeRequest(const std::vector<EngineCandidate> &engines,
             const RequestProfile &request, const EngineSpeedModels &speeds,
             std::mt19937_64 &random) {
  std::uniform_real_distribution<double> jitter(1 - JitterRatio,
                                                1 + JitterRatio);
  double scarcity = prefillScarcity(engines, speeds.Prefill);
  BestCandidate colocated;
  std::map<uint64_t, SeparatePrefill> byVersion;
  for (size_t i = 0; i < engines.size(); ++i) {
    const EngineCandidate &e = engines[i];
    SeparatePrefill &separate = byVersion[e.SoftwareVersion];
    if (e.Role == EngineRole::Prefill) {
      Seconds t = prefillTime(e, request, speeds.Prefill);
      separate.Prefill.consider(
          i, t, speeds.Prefill.perUnit() * uncachedTokens(e, request),
          t * jitter(random) + penalty(e) +
              recomputeCost(e, request, speeds.Prefill) +
              speeds.Prefill.perUnit() * uncachedTokens(e, request) * scarcity);
      continue;
    }
    Seconds t = prefillTime(e, request, speeds.Colocated) + inFlightCost(e);
    Seconds work = speeds.Colocated.perUnit() * uncachedTokens(e, request);
    colocated.consider(
        i, t, work,
        t * jitter(random) + penalty(e) +
            work * static_cast<double>(e.Requests) * SequenceDelayWeight +
            latePauseCost(e, request, speeds) + occupancyCost(e, request) +
            recomputeCost(e, request, speeds.Colocated));
    considerFetch(i, e, request, speeds, jitter(random), separate.Fetch);
  }
  if (!colocated.Index)
    return std::nullopt;
  PlacementChoice choice{std::nullopt, *colocated.Index, colocated.Time,
                         colocated.Work};
  Seconds bestScore = colocated.Score;
  for (const auto &[version, it] : byVersion) {
    if (!it.Prefill.Index || !it.Fetch.Index)
      continue;
    Seconds score = it.Prefill.Score + it.Fetch.Score + KvTransferCost;
    if (score >= bestScore)
      continue;
    bestScore = score;
    choice = {it.Prefill.Index, *it.Fetch.Index,
              it.Prefill.Time + it.Fetch.Time, it.Prefill.Work};
  }
  return choice;
}

std::optional<size_t>
chooseFetchEngine(const std::vector<EngineCandidate> &engines,
                  const RequestProfile &request,
                  const EngineSpeedModels &speeds, std::mt19937_64 &random) {
  std::uniform_real_distribution<double> jitter(1 - JitterRatio,
                                                1 + JitterRatio);
  BestCandidate best;
  for (size_t i = 0; i < engines.size(); ++i)
    if (engines[i].Role != EngineRole::Prefill)
      considerFetch(i, engines[i], request, speeds, jitter(random), best);
  return best.Index;
}

} // namespace sardineford::routing
