#pragma once

#include "Node/Node.h"
#include "Sardineford/Engine/EngineClient.h"
#include "Sardineford/Plan/PoolPlan.h"

#include <map>
#include <optional>
#include <string>

namespace sardineford::controller {

/// What the holder of a pool knows of one engine.
struct EngineInfo {
  membership::Instance Where;
  std::optional<engine::LoadReport> Report;
  /// When the report was asked for.
  MonoTime ReportAsked{};
  int FailedPolls = 0;
  bool PollRunning = false;
};

/// Engines of one pool, from the instance list and from their reports.
class EngineTable {
public:
  EngineTable(node::Node &node, engine::EngineClient &engines,
              std::string pool);

  /// Takes over the instance list.
  void refresh();
  /// Asks every engine for its report, without waiting.
  void poll();

  std::map<std::string, EngineInfo> &all() { return Engines; }
  const std::map<std::string, EngineInfo> &all() const { return Engines; }
  const EngineInfo *find(const std::string &name) const;

  /// State of an engine from all that is known, the plan's marks included.
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
