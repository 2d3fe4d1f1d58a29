#pragma once

#include "Sardineford/Config/Objects.h"
#include "Sardineford/Roles/Demand.h"
#include "Sardineford/Routing/View.h"

#include <optional>
#include <string>
#include <vector>

namespace sardineford::roles {

/// Times that the policy weighs.
struct PolicyTimes {
  /// How long a gain is counted for.
  Seconds Horizon{40};
  /// Time that an engine needs to finish its work before a change.
  Seconds Drain{4};
  /// Shortest time between two decisions for one pool.
  Seconds MinBetweenChanges{4};
};

/// What the policy sees of one pool.
struct RoleView {
  routing::PoolView Pool;
  config::EnginePoolSpec Spec;
  DemandEstimate DemandAverages;
  PolicyTimes Times;
  MonoTime Now{};
  /// When the last change was decided.
  std::optional<MonoTime> LastChange;
};

/// A change of one engine's role, with the answers that it is worth.
struct RoleChange {
  std::string Engine;
  routing::EngineRole To = routing::EngineRole::Mixed;
  double Gain = 0;
  double Cost = 0;
};

/// Engines that do the work of each phase.
struct RoleCounts {
  double Prefill = 0;
  double Decode = 0;
};

/// Share of the demand that a split can serve in time, 0 to 1. Prefill that
/// the prefill engines cannot take runs on decode engines, at their cost.
double servedRatio(const RoleCounts &split, const Demand &d,
                   const routing::EngineSpeeds &s);

/// Decides on a change of role, or none. A pure function of its view.
std::optional<RoleChange> decideRoles(const RoleView &view);

} // namespace sardineford::roles
