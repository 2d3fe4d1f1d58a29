#include "Sardineford/Roles/RolePolicy.h"

#include <algorithm>
#include <limits>

namespace sardineford::roles {

using routing::EngineRole;
using routing::EngineState;
using routing::EngineView;

namespace {

/// Ratio of its capacity that an engine can use while answers stay in time.
constexpr double UsableCapacityRatio = 0.95;
/// A change must also gain more than it costs if the demand returns by this
/// ratio towards its slow average.
constexpr double DemandReturnRatio = 0.3;
/// The threshold policy moves an engine to a phase above the high utilization
/// if the other phase is below the low one.
constexpr double HighUtilization = 0.85;
constexpr double LowUtilization = 0.65;
constexpr int BisectionSteps = 20;

double prefillCapacity(const routing::EngineSpeeds &s) {
  return s.PrefillTokensPerSecond * UsableCapacityRatio;
}

double decodeCapacity(const routing::EngineSpeeds &s) {
  auto batch = static_cast<double>(s.MaxBatch);
  return batch / routing::stepTime(s, batch).count() * UsableCapacityRatio;
}

bool canServe(const RoleCounts &engines, const Demand &d, double ratio,
              const routing::EngineSpeeds &s) {
  double overflow = std::max(0.0, ratio * d.PromptTokens -
                                      engines.Prefill * prefillCapacity(s));
  double overflowRate = prefillCapacity(s) * s.PrefillShareInDecode;
  double decoders = engines.Decode - overflow / overflowRate;
  return decoders * decodeCapacity(s) >= ratio * d.OutputTokens;
}

/// Counts the engines by role, with those that drain or change.
RoleCounts countRoles(const routing::PoolView &pool) {
  RoleCounts engines;
  for (const EngineView &it : pool.Engines) {
    if (it.State == EngineState::Leaving || it.State == EngineState::Lost)
      continue;
    if (it.Role == EngineRole::Prefill)
      engines.Prefill += 1;
    else
      engines.Decode += 1;
  }
  return engines;
}

bool hasEngineChangingRole(const routing::PoolView &pool) {
  return std::any_of(pool.Engines.begin(), pool.Engines.end(),
                     [](const EngineView &it) {
                       return it.State == EngineState::Draining ||
                              it.State == EngineState::Changing;
                     });
}

RoleCounts afterChange(RoleCounts engines, EngineRole to) {
  double n = to == EngineRole::Prefill ? 1 : -1;
  engines.Prefill += n;
  engines.Decode -= n;
  return engines;
}

RoleCounts withoutEngine(RoleCounts engines, EngineRole from) {
  (from == EngineRole::Prefill ? engines.Prefill : engines.Decode) -= 1;
  return engines;
}

bool meetsMinimums(const RoleCounts &after,
                   const config::EnginePoolSpec &spec) {
  return after.Prefill >= static_cast<double>(spec.MinPrefill) &&
         after.Decode >= static_cast<double>(spec.MinDecode);
}

/// Returns the engine that can change to a role and has the fewest requests;
/// null if there is none.
const EngineView *leastBusy(const routing::PoolView &pool, EngineRole to) {
  const EngineView *best = nullptr;
  for (const EngineView &it : pool.Engines) {
    bool hasTargetRole =
        (it.Role == EngineRole::Prefill) == (to == EngineRole::Prefill);
    if (hasTargetRole || it.State != EngineState::Serving || it.Frozen)
      continue;
    if (!best || it.Running + it.Waiting < best->Running + best->Waiting)
      best = &it;
  }
  return best;
}

/// Expected number of answers gained and lost by one role change, for one
/// demand.
struct ChangeEstimate {
  double Gain = 0;
  double Cost = 0;

  double net() const { return Gain - Cost; }
};

ChangeEstimate estimateChange(const RoleView &view, const RoleCounts &now,
                              EngineRole to, const Demand &d) {
  const routing::EngineSpeeds &s = view.Pool.Speeds;
  EngineRole from =
      to == EngineRole::Prefill ? EngineRole::Decode : EngineRole::Prefill;
  double served = servedRatio(now, d, s);
  double after = servedRatio(afterChange(now, to), d, s);
  double withoutOne = servedRatio(withoutEngine(now, from), d, s);
  Seconds unavailableTime =
      Seconds(toSeconds(view.Spec.RoleChangeTime)) + view.Times.Drain;
  ChangeEstimate estimate;
  estimate.Gain = (after - served) * d.Requests * view.Times.Horizon.count();
  estimate.Cost = (served - withoutOne) * d.Requests * unavailableTime.count() +
                  view.Spec.ChangeWeight;
  return estimate;
}

std::optional<RoleChange> decideByGoodput(const RoleView &view) {
  RoleCounts now = countRoles(view.Pool);
  std::optional<RoleChange> best;
  double bestNet = 0;
  for (EngineRole to : {EngineRole::Prefill, EngineRole::Decode}) {
    const EngineView *engine = leastBusy(view.Pool, to);
    if (!engine || !meetsMinimums(afterChange(now, to), view.Spec))
      continue;
    ChangeEstimate fast =
        estimateChange(view, now, to, view.DemandAverages.Fast);
    ChangeEstimate blended = estimateChange(
        view, now, to, blend(view.DemandAverages, DemandReturnRatio));
    const ChangeEstimate &worse = fast.net() < blended.net() ? fast : blended;
    if (worse.net() <= bestNet)
      continue;
    bestNet = worse.net();
    best = RoleChange{engine->Name, to, worse.Gain, worse.Cost};
  }
  return best;
}

std::optional<RoleChange> decideByThreshold(const RoleView &view) {
  RoleCounts now = countRoles(view.Pool);
  const routing::EngineSpeeds &s = view.Pool.Speeds;
  auto utilization = [](double work, double engines, double capacity) {
    return engines > 0 ? work / (engines * capacity)
                       : std::numeric_limits<double>::infinity();
  };
  double prefill = utilization(view.DemandAverages.Fast.PromptTokens,
                               now.Prefill, prefillCapacity(s));
  double decode = utilization(view.DemandAverages.Fast.OutputTokens, now.Decode,
                              decodeCapacity(s));
  std::optional<EngineRole> to;
  if (prefill > HighUtilization && decode < LowUtilization)
    to = EngineRole::Prefill;
  if (decode > HighUtilization && prefill < LowUtilization)
    to = EngineRole::Decode;
  if (!to || !meetsMinimums(afterChange(now, *to), view.Spec))
    return std::nullopt;
  const EngineView *engine = leastBusy(view.Pool, *to);
  if (!engine)
    return std::nullopt;
  return RoleChange{engine->Name, *to, 0, 0};
}

} // namespace

double servedRatio(const RoleCounts &engines, const Demand &d,
                   const routing::EngineSpeeds &s) {
  if (canServe(engines, d, 1, s))
    return 1;
  double low = 0;
  double high = 1;
  for (int i = 0; i < BisectionSteps; ++i) {
    double middle = (low + high) / 2;
    (canServe(engines, d, middle, s) ? low : high) = middle;
  }
  return low;
}

std::optional<RoleChange> decideRoles(const RoleView &view) {
  bool tooSoon =
      view.LastChange && view.Now - *view.LastChange <
                             fromSeconds(view.Times.MinBetweenChanges.count());
  if (!view.DemandAverages.HasSamples || tooSoon ||
      hasEngineChangingRole(view.Pool))
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
