#include "Controller/EngineTable.h"

#include "Controller/ControllerSettings.h"
#include "Sardineford/Common/Log.h"

#include <algorithm>

namespace sardineford::controller {

using membership::Instance;
using membership::InstanceKind;
using membership::InstanceState;
using routing::EngineState;

namespace {

constexpr int FailedPollsUntilLost = 3;

} // namespace

EngineTable::EngineTable(node::Node &node, engine::EngineClient &engines,
                         std::string pool)
    : Node(node), Client(engines), Pool(std::move(pool)) {}

const EngineInfo *EngineTable::find(const std::string &name) const {
  auto it = Engines.find(name);
  return it == Engines.end() ? nullptr : &it->second;
}

void EngineTable::refresh() {
  for (const Instance &it : Node.instances()) {
    if (it.Kind == InstanceKind::Engine && it.Group == Pool)
      Engines[it.Name].Instance = it;
  }
}

void EngineTable::poll() {
  for (auto &[name, e] : Engines) {
    if (e.PollRunning || e.Instance.State == InstanceState::Gone)
      continue;
    e.PollRunning = true;
    spawn(Node.Io, "poll-" + name, [this, n = name] { return pollOne(n); });
  }
}

Awaitable<void> EngineTable::pollOne(std::string name) {
  MonoTime requestedAt = MonoClock::now();
  std::optional<engine::LoadReport> report;
  try {
    report = co_await Client.load(Engines[name].Instance.Address,
                                  Node.Options.milliseconds(PollTimeout));
  } catch (const std::exception &e) {
    log::debug(log::Category::Controller, "polling engine {} failed: {}", name,
               e.what());
  }
  EngineInfo &e = Engines[name];
  e.PollRunning = false;
  if (!report) {
    ++e.FailedPolls;
    co_return;
  }
  e.FailedPolls = 0;
  e.ReportRequestedAt = requestedAt;
  if (report->State == EngineState::Leaving)
    Node.Exchange.markLeaving(name, report->Incarnation);
  e.Report = std::move(report);
}

EngineState EngineTable::stateOf(const EngineInfo &e,
                                 const plan::PoolPlan &p) const {
  const std::string &name = e.Instance.Name;
  bool isLeaving =
      e.Instance.State != InstanceState::Live ||
      (e.Report && (e.Report->State == EngineState::Leaving ||
                    Node.Exchange.isLeaving(name, e.Report->Incarnation)));
  if (isLeaving)
    return EngineState::Leaving;
  if (!e.Report || e.FailedPolls >= FailedPollsUntilLost)
    return EngineState::Lost;
  if (e.Report->State == EngineState::Changing)
    return EngineState::Changing;
  auto it = p.Engines.find(name);
  bool isDraining = it != p.Engines.end() && it->second.Draining;
  const config::Catalog &c = Node.Exchange.config().catalog();
  auto spec = c.Pools.find(Pool);
  if (spec != c.Pools.end()) {
    const std::vector<std::string> &drain = spec->second.Drain;
    isDraining |= std::find(drain.begin(), drain.end(), name) != drain.end();
  }
  return isDraining ? EngineState::Draining : EngineState::Serving;
}

} // namespace sardineford::controller
