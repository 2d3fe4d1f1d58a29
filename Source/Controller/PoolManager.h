#pragma once

#include "Controller/EngineTable.h"
#include "Controller/OrderRunner.h"
#include "Controller/PlanLease.h"
#include "Controller/WorkspaceRates.h"
#include "Messages/Messages.pb.h"
#include "Sardineford/Roles/RolePolicy.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace sardineford::controller {

/// Keeps one engine pool while it holds its lease: polls the engines, collects
/// demand from the entry processes, answers them with the pool's view, decides
/// on roles and carries the changes out.
class PoolManager {
public:
  PoolManager(node::Node &node, engine::EngineClient &engines,
              std::string pool);

  void start();

  /// Answers the report of an entry process.
  messages::PoolView report(const messages::LoadReport &in);
  messages::RenounceReply renounce(const messages::RenounceRequest &in);

  /// State of the lease for status pages.
  const PlanLease &lease() const { return Lease; }
  messages::PoolView view() const;

private:
  /// What an entry process told last.
  struct EntryNode {
    MonoTime LastReport{};
    timeline::HybridTime ViewTime;
    std::set<std::string> EnginesInUse;
  };

  Awaitable<void> leaseLoop();
  Awaitable<void> workLoop();
  Awaitable<void> decideLoop();
  Awaitable<void> assignNewEngines();
  void onTakeOver();
  void decide();
  void reconcile();
  routing::EngineRole wantedRole(const std::string &engine) const;
  bool isPinned(const std::string &engine) const;
  void takeSample();
  roles::RoleView makeRoleView() const;
  void addRates(messages::PoolView &out) const;
  size_t reportingNodes() const;
  bool isReleased(const std::string &engine, timeline::HybridTime since) const;
  /// Whether entry processes are listed and none of them reaches this holder.
  bool isUnreachable() const;
  const config::EnginePoolSpec *spec() const;

  node::Node &Node;
  std::string Pool;
  PlanLease Lease;
  EngineTable Table;
  OrderRunner Orders;
  std::map<std::string, EntryNode> Nodes;
  roles::DemandSample Pending;
  MonoTime LastSample = MonoClock::now();
  roles::DemandEstimate Demand;
  WorkspaceRates Workspaces;
  std::optional<MonoTime> LastChange;
  uint64_t KnownEpoch = 0;
  MonoTime HolderSince{};
};

} // namespace sardineford::controller
