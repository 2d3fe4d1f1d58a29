#pragma once

#include "Sardineford/Config/Objects.h"
#include "Sardineford/Roles/Demand.h"
#include "Sardineford/Routing/View.h"

#include <optional>
#include <string>
#include <vector>

namespace sardineford::roles {

/// Time parameters of the policy.
struct PolicyTimes {
  /// Time over which the gain of a role change is counted.
  Seconds Horizon{40};
  /// Expected time in which an engine drains before its role changes.
  Seconds Drain{4};
  /// Minimum interval between two role changes in one pool.
  Seconds MinBetweenChanges{4};
};

/// Input of the policy for one pool.
struct RoleView {
  routing::PoolView Pool;
  config::EnginePoolSpec Spec;
  DemandEstimate DemandAverages;
  PolicyTimes Times;
  MonoTime Now{};
  /// Time of the last decision to change a role.
  std::optional<MonoTime> LastChange;
};

/// A role change of one engine. Gain and cost are expected numbers of answers.
struct RoleChange {
  std::string Engine;
  routing::EngineRole To = routing::EngineRole::Mixed;
  double Gain = 0;
  double Cost = 0;
};

/// Number of engines per phase; mixed engines count as decode engines.
struct RoleCounts {
  double Prefill = 0;
  double Decode = 0;
};

/// Ratio of the demand that the engines can serve in time, 0 to 1. Prefill that
/// exceeds the capacity of the prefill engines runs on decode engines and
/// reduces their decode capacity.
double servedRatio(const RoleCounts &engines, const Demand &demand,
                   const routing::EngineSpeeds &speeds);

/// Returns the role change to make now, if any. A pure function of the view.
std::optional<RoleChange> decideRoles(const RoleView &view);

} // namespace sardineford::roles
