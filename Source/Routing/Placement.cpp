#include "Sardineford/Routing/Placement.h"

#include <algorithm>

namespace sardineford::routing {

namespace {

/// Starting speeds of a mid-sized engine; real ones are learned within some
/// tens of requests.
constexpr Seconds StartPrefillFixed{0.010};
constexpr Seconds StartPrefillPerToken{20e-6};
constexpr Seconds StartAloneFixed{0.060};
constexpr Seconds StartAlonePerToken{40e-6};
constexpr Seconds StartFetchFixed{0.060};
constexpr Seconds StartFetchPerToken{1e-6};
constexpr double TypicalPromptTokens = 4'000;

/// A failing server costs this much time for each unit of its failure share:
/// a retry takes about as long as the first try.
constexpr Seconds FailureCost{0.5};
/// What lies in another failure domain costs bytes there and back.
constexpr Seconds OtherDomainCost{0.003};
/// A move of the key-value cache occupies two links.
constexpr Seconds MoveCost{0.005};
/// Estimates are spread by this share, so that processes that know the same
/// do not all choose the same engine.
constexpr double Spread = 0.06;
/// Each running sequence slows the step by about this share of a first event.
constexpr Seconds CostPerRunning{0.003};
/// Reading shared parts again delays all that waits behind, here and where
/// the parts yield: it counts this many times its own time.
constexpr double ReadAgainWeight = 2;
/// Where nobody holds a part yet, its home is worth this much.
constexpr Seconds HomeBonus{0.030};
/// Prefill at a decode engine delays the events of each running sequence; a
/// delay of another's events counts this share of one's own first event.
constexpr double RunningDelayWeight = 0.25;
constexpr Seconds HeldOffCost{5.0};

Seconds penalty(const EngineCandidate &e) {
  Seconds cost = FailureCost * e.FailureRatio;
  if (!e.SameDomain)
    cost += OtherDomainCost;
  if (e.Ejected)
    cost += HeldOffCost;
  return cost;
}

double uncached(const EngineCandidate &e, const PromptSize &d) {
  return static_cast<double>(d.PromptTokens -
                             std::min(e.CachedTokens, d.PromptTokens));
}

Seconds prefillTime(const EngineCandidate &e, const PromptSize &d,
                    const SpeedModel &m) {
  return m.estimate(e.PromptTokensAhead + uncached(e, d)) * e.Slowness +
         e.SlotWait;
}

/// What placing there costs others.
Seconds readAgainCost(const EngineCandidate &e, const SpeedModel &m) {
  Seconds cost = m.perUnit() * static_cast<double>(e.UncachedSharedTokens) *
                 ReadAgainWeight;
  if (e.IsPreferred)
    cost -= HomeBonus;
  return cost;
}

Seconds runningCost(const EngineCandidate &e) {
  return CostPerRunning * static_cast<double>(e.Requests);
}

struct Best {
  std::optional<size_t> Index;
  Seconds Time{0};
  Seconds Work{0};
  Seconds Score{0};

  void offer(size_t i, Seconds time, Seconds work, Seconds score) {
    if (Index && Score <= score)
      return;
    Index = i;
    Time = time;
    Work = work;
    Score = score;
  }
};

} // namespace

EngineSpeedModels initialSpeedModels() {
  return {
      SpeedModel(StartPrefillFixed, StartPrefillPerToken, TypicalPromptTokens),
      SpeedModel(StartAloneFixed, StartAlonePerToken, TypicalPromptTokens),
      SpeedModel(StartFetchFixed, StartFetchPerToken, TypicalPromptTokens)};
}

std::optional<PlacementChoice>
placeRequest(const std::vector<EngineCandidate> &engines,
             const PromptSize &demand, const EngineSpeedModels &speeds,
             std::mt19937_64 &random) {
  std::uniform_real_distribution<double> spread(1 - Spread, 1 + Spread);
  Best prefill;
  Best alone;
  Best fetch;
  auto tokens = static_cast<double>(demand.PromptTokens);
  for (size_t i = 0; i < engines.size(); ++i) {
    const EngineCandidate &e = engines[i];
    if (e.Role == EngineRole::Prefill) {
      Seconds t = prefillTime(e, demand, speeds.Prefill);
      prefill.offer(i, t, speeds.Prefill.perUnit() * uncached(e, demand),
                    t * spread(random) + penalty(e) +
                        readAgainCost(e, speeds.Prefill));
      continue;
    }
    Seconds t = prefillTime(e, demand, speeds.Colocated) + runningCost(e);
    Seconds work = speeds.Colocated.perUnit() * uncached(e, demand);
    alone.offer(i, t, work,
                t * spread(random) + penalty(e) +
                    work * static_cast<double>(e.Requests) *
                        RunningDelayWeight +
                    readAgainCost(e, speeds.Colocated));
    t = speeds.Fetch.estimate(tokens) * e.Slowness + runningCost(e) +
        e.SlotWait;
    fetch.offer(i, t, Seconds(0), t * spread(random) + penalty(e));
  }
  if (!alone.Index)
    return std::nullopt;
  PlacementChoice choice{std::nullopt, *alone.Index, alone.Time, alone.Work};
  if (prefill.Index && prefill.Score + fetch.Score + MoveCost < alone.Score)
    choice = {prefill.Index, *fetch.Index, prefill.Time + fetch.Time,
              prefill.Work};
  return choice;
}

} // namespace sardineford::routing
