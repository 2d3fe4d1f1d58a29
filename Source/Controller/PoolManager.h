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

/// Manages one engine pool while this process holds the pool's lease: polls the
/// engines, collects the demand that entry processes report, returns the pool's
/// view to them, decides on role changes and executes them.
class PoolManager {
public:
  PoolManager(node::Node &node, engine::EngineClient &engines,
              std::string pool);

  void start();

  /// Records the report of an entry process and returns the pool's view.
  messages::PoolView handleReport(const messages::LoadReport &in);
  messages::RenounceReply handleRenounce(const messages::RenounceRequest &in);

  /// The pool's lease, for the status page.
  const PlanLease &lease() const { return Lease; }
  messages::PoolView view() const;

private:
  /// Last report of an entry process.
  struct EntryReport {
    MonoTime ReceivedAt{};
    timeline::HybridTime ViewTime;
    std::set<std::string> EnginesInUse;
  };

  Awaitable<void> leaseLoop();
  Awaitable<void> pollLoop();
  Awaitable<void> decideLoop();
  Awaitable<void> assignNewEngines();
  void onLeaseAcquired();
  void decide();
  void reconcile();
  routing::EngineRole targetRole(const std::string &engine) const;
  bool isPinned(const std::string &engine) const;
  void sampleDemand();
  roles::RoleView makeRoleView() const;
  void addWorkspaceRates(messages::PoolView &out) const;
  size_t countReportingEntries() const;
  bool isReleased(const std::string &engine, timeline::HybridTime since) const;
  /// Returns whether the instance list contains live entry processes and none
  /// of them reaches this holder.
  bool isUnreachable() const;
  const config::EnginePoolSpec *spec() const;

  node::Node &Node;
  std::string Pool;
  PlanLease Lease;
  EngineTable Table;
  OrderRunner Orders;
  std::map<std::string, EntryReport> EntryReports;
  roles::DemandSample PendingDemand;
  MonoTime LastSample = MonoClock::now();
  roles::DemandEstimate Demand;
  WorkspaceRates Workspaces;
  std::optional<MonoTime> LastChange;
  /// Epoch of the last acquisition of the lease that was handled.
  uint64_t KnownEpoch = 0;
  MonoTime HolderSince{};
};

} // namespace sardineford::controller
