#include "Sardineford/Roles/RolePolicy.h"

#include <algorithm>
#include <limits>

namespace sardineford::roles {

using routing::EngineRole;
using routing::EngineState;
using routing::EngineView;

namespace {

/// Part of its capacity that an engine can fill while answers stay in time.
constexpr double UsableShare = 0.95;
/// A change must also pay if the demand falls back this far.
constexpr double FallBackShare = 0.3;
/// Utilisations at which the threshold policy acts.
constexpr double HighUtilisation = 0.85;
constexpr double LowUtilisation = 0.65;
constexpr int BisectionSteps = 20;

double prefillCapacity(const routing::EngineSpeeds &s) {
  return s.PrefillTokensPerSecond * UsableShare;
}

double decodeCapacity(const routing::EngineSpeeds &s) {
  auto batch = static_cast<double>(s.MaxBatch);
  return batch / routing::stepTime(s, batch).count() * UsableShare;
}

bool canServe(const RoleCounts &split, const Demand &d, double share,
              const routing::EngineSpeeds &s) {
  double overflow = std::max(0.0, share * d.PromptTokens -
                                      split.Prefill * prefillCapacity(s));
  double overflowRate = prefillCapacity(s) * s.PrefillShareInDecode;
  double decoders = split.Decode - overflow / overflowRate;
  return decoders * decodeCapacity(s) >= share * d.OutputTokens;
}

/// Engines that serve or will serve, by role.
RoleCounts currentSplit(const routing::PoolView &pool) {
  RoleCounts split;
  for (const EngineView &it : pool.Engines) {
    if (it.State == EngineState::Leaving || it.State == EngineState::Lost)
      continue;
    if (it.Role == EngineRole::Prefill)
      split.Prefill += 1;
    else
      split.Decode += 1;
  }
  return split;
}

bool anyAway(const routing::PoolView &pool) {
  return std::any_of(pool.Engines.begin(), pool.Engines.end(),
                     [](const EngineView &it) {
                       return it.State == EngineState::Draining ||
                              it.State == EngineState::Changing;
                     });
}

RoleCounts moved(RoleCounts split, EngineRole to) {
  double n = to == EngineRole::Prefill ? 1 : -1;
  split.Prefill += n;
  split.Decode -= n;
  return split;
}

RoleCounts without(RoleCounts split, EngineRole from) {
  (from == EngineRole::Prefill ? split.Prefill : split.Decode) -= 1;
  return split;
}

bool isAllowed(const RoleCounts &after, const config::EnginePoolSpec &spec) {
  return after.Prefill >= static_cast<double>(spec.MinPrefill) &&
         after.Decode >= static_cast<double>(spec.MinDecode);
}

/// The engine of a role that is empty soonest.
const EngineView *leastBusy(const routing::PoolView &pool, EngineRole to) {
  const EngineView *best = nullptr;
  for (const EngineView &it : pool.Engines) {
    bool hasTarget =
        (it.Role == EngineRole::Prefill) == (to == EngineRole::Prefill);
    if (hasTarget || it.State != EngineState::Serving || it.Frozen)
      continue;
    if (!best || it.Running + it.Waiting < best->Running + best->Waiting)
      best = &it;
  }
  return best;
}

/// Answers gained and lost by moving one engine, under one demand.
struct Balance {
  double Gain = 0;
  double Cost = 0;

  double net() const { return Gain - Cost; }
};

Balance weigh(const RoleView &view, const RoleCounts &now, EngineRole to,
              const Demand &d) {
  const routing::EngineSpeeds &s = view.Pool.Speeds;
  EngineRole from =
      to == EngineRole::Prefill ? EngineRole::Decode : EngineRole::Prefill;
  double served = servedRatio(now, d, s);
  double after = servedRatio(moved(now, to), d, s);
  double away = servedRatio(without(now, from), d, s);
  Seconds absence =
      Seconds(toSeconds(view.Spec.RoleChangeTime)) + view.Times.Drain;
  Balance b;
  b.Gain = (after - served) * d.Requests * view.Times.Horizon.count();
  b.Cost =
      (served - away) * d.Requests * absence.count() + view.Spec.ChangeWeight;
  return b;
}

std::optional<RoleChange> decideByGoodput(const RoleView &view) {
  RoleCounts now = currentSplit(view.Pool);
  std::optional<RoleChange> best;
  double bestNet = 0;
  for (EngineRole to : {EngineRole::Prefill, EngineRole::Decode}) {
    const EngineView *engine = leastBusy(view.Pool, to);
    if (!engine || !isAllowed(moved(now, to), view.Spec))
      continue;
    Balance fast = weigh(view, now, to, view.DemandAverages.Fast);
    Balance settled =
        weigh(view, now, to, blend(view.DemandAverages, FallBackShare));
    const Balance &worse = fast.net() < settled.net() ? fast : settled;
    if (worse.net() <= bestNet)
      continue;
    bestNet = worse.net();
    best = RoleChange{engine->Name, to, worse.Gain, worse.Cost};
  }
  return best;
}

std::optional<RoleChange> decideByThreshold(const RoleView &view) {
  RoleCounts now = currentSplit(view.Pool);
  const routing::EngineSpeeds &s = view.Pool.Speeds;
  auto utilisation = [](double work, double engines, double capacity) {
    return engines > 0 ? work / (engines * capacity)
                       : std::numeric_limits<double>::infinity();
  };
  double prefill = utilisation(view.DemandAverages.Fast.PromptTokens,
                               now.Prefill, prefillCapacity(s));
  double decode = utilisation(view.DemandAverages.Fast.OutputTokens, now.Decode,
                              decodeCapacity(s));
  std::optional<EngineRole> to;
  if (prefill > HighUtilisation && decode < LowUtilisation)
    to = EngineRole::Prefill;
  if (decode > HighUtilisation && prefill < LowUtilisation)
    to = EngineRole::Decode;
  if (!to || !isAllowed(moved(now, *to), view.Spec))
    return std::nullopt;
  const EngineView *engine = leastBusy(view.Pool, *to);
  if (!engine)
    return std::nullopt;
  return RoleChange{engine->Name, *to, 0, 0};
}

} // namespace

double servedRatio(const RoleCounts &split, const Demand &d,
                   const routing::EngineSpeeds &s) {
  if (canServe(split, d, 1, s))
    return 1;
  double low = 0;
  double high = 1;
  for (int i = 0; i < BisectionSteps; ++i) {
    double middle = (low + high) / 2;
    (canServe(split, d, middle, s) ? low : high) = middle;
  }
  return low;
}

std::optional<RoleChange> decideRoles(const RoleView &view) {
  bool tooSoon =
      view.LastChange && view.Now - *view.LastChange <
                             fromSeconds(view.Times.MinBetweenChanges.count());
  if (!view.DemandAverages.HasSamples || tooSoon || anyAway(view.Pool))
    return std::nullopt;
  switch (view.Spec.Policy) {
  case config::RolePolicy::Goodput:
    return decideByGoodput(view);
  case config::RolePolicy::Threshold:
    return decideByThreshold(view);
  case config::RolePolicy::Fixed:
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace sardineford::roles
