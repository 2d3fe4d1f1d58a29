#pragma once

#include "Node/Node.h"
#include "Sardineford/Engine/EngineClient.h"
#include "Sardineford/Plan/PoolPlan.h"

#include <map>
#include <optional>
#include <string>

namespace sardineford::controller {

/// Last known state of one engine of a pool.
struct EngineInfo {
  membership::Instance Instance;
  std::optional<engine::LoadReport> Report;
  MonoTime ReportRequestedAt{};
  int FailedPolls = 0;
  bool PollRunning = false;
};

/// Engines of one pool, from the instance list and from their reports.
class EngineTable {
public:
  EngineTable(node::Node &node, engine::EngineClient &engines,
              std::string pool);

  /// Adds and updates engines from the instance list.
  void refresh();
  /// Starts a poll of every engine for its load report; does not wait for the
  /// replies.
  void poll();

  std::map<std::string, EngineInfo> &all() { return Engines; }
  const std::map<std::string, EngineInfo> &all() const { return Engines; }
  const EngineInfo *find(const std::string &name) const;

  /// Returns the state of an engine from its instance, its last report, the
  /// leaving marks of the peers, and the draining marks of the plan and of the
  /// pool's configuration.
  routing::EngineState stateOf(const EngineInfo &e,
                               const plan::PoolPlan &p) const;

private:
  Awaitable<void> pollOne(std::string name);

  node::Node &Node;
  engine::EngineClient &Client;
  std::string Pool;
  std::map<std::string, EngineInfo> Engines;
};

} // namespace sardineford::controller
