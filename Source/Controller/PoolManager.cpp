#include "Controller/PoolManager.h"

#include "Controller/ControllerSettings.h"
#include "Sardineford/Admission/Admission.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Routing/Speeds.h"

#include <algorithm>

namespace sardineford::controller {

using plan::PoolPlan;
using routing::EngineRole;
using routing::EngineState;

namespace {

/// An entry process with an older last report does not count as reporting.
constexpr Milliseconds MaxReportAge{3'000};

messages::EngineState toMessage(EngineState s) {
  switch (s) {
  case EngineState::Serving:
    return messages::SERVING;
  case EngineState::Draining:
    return messages::DRAINING;
  case EngineState::Changing:
    return messages::CHANGING;
  case EngineState::Leaving:
    return messages::LEAVING;
  case EngineState::Lost:
    return messages::LOST;
  }
  return messages::LOST;
}

void fillReport(messages::EngineLoad &out, const EngineInfo &e) {
  if (!e.Report)
    return;
  const engine::LoadReport &r = *e.Report;
  out.set_incarnation(r.Incarnation);
  out.set_role(std::string(routing::toString(r.Role)));
  out.set_queued_prefill_tokens(r.QueuedPrefillTokens);
  out.set_running(r.Running);
  out.set_waiting(r.Waiting);
  out.set_used_pieces(r.UsedPieces);
  out.set_total_pieces(r.TotalPieces);
  for (uint64_t it : r.Prefixes)
    out.add_prefixes(it);
  Milliseconds age = toMilliseconds(MonoClock::now() - e.ReportRequestedAt);
  out.set_age_ms(static_cast<uint64_t>(age.count()));
}

bool contains(const std::vector<std::string> &names, const std::string &n) {
  return std::find(names.begin(), names.end(), n) != names.end();
}

routing::EngineView toRoleView(const EngineInfo &e, EngineState state) {
  routing::EngineView v;
  v.Name = e.Instance.Name;
  v.State = state;
  if (!e.Report)
    return v;
  v.Role = e.Report->Role;
  v.Running = e.Report->Running;
  v.Waiting = e.Report->Waiting;
  v.QueuedPrefillTokens = e.Report->QueuedPrefillTokens;
  return v;
}

} // namespace

PoolManager::PoolManager(node::Node &node, engine::EngineClient &engines,
                         std::string pool)
    : Node(node), Pool(std::move(pool)), Lease(node, plan::PlanKind, Pool),
      Table(node, engines, Pool),
      Orders(node, engines, Lease, Table, Pool,
             [this](const std::string &engine, timeline::HybridTime since) {
               return isReleased(engine, since);
             }) {}

void PoolManager::start() {
  spawn(Node.Io, "lease-" + Pool, [this] { return leaseLoop(); });
  spawn(Node.Io, "poll-pool-" + Pool, [this] { return pollLoop(); });
  spawn(Node.Io, "decide-" + Pool, [this] { return decideLoop(); });
}

const config::EnginePoolSpec *PoolManager::spec() const {
  const config::Catalog &c = Node.Exchange.config().catalog();
  auto it = c.Pools.find(Pool);
  return it == c.Pools.end() ? nullptr : &it->second;
}

Awaitable<void> PoolManager::leaseLoop() {
  for (;;) {
    co_await Lease.tick();
    if (Lease.isLastHolder() && Lease.plan().Epoch != KnownEpoch)
      onLeaseAcquired();
    if (Lease.isLastHolder() && isUnreachable())
      Lease.stepDown();
    co_await sleepFor(Lease.tickInterval());
  }
}

void PoolManager::onLeaseAcquired() {
  KnownEpoch = Lease.plan().Epoch;
  HolderSince = MonoClock::now();
  Node.Exchange.updateHolder(
      {Pool, Node.Name, KnownEpoch, Node.Exchange.options().Address});
  Orders.resolveInheritedOrders();
}

Awaitable<void> PoolManager::pollLoop() {
  for (;;) {
    co_await sleepFor(Node.Options.milliseconds(PollInterval));
    if (!Lease.isLastHolder())
      continue;
    Table.refresh();
    Table.poll();
    if (Lease.mayAct())
      co_await assignNewEngines();
  }
}

/// Assigns roles to engines that are not in the plan: prefill up to the pool's
/// initial number of prefill engines, then decode.
Awaitable<void> PoolManager::assignNewEngines() {
  const config::EnginePoolSpec *s = spec();
  if (!s)
    co_return;
  std::vector<std::string> unassigned;
  for (const auto &[name, e] : Table.all())
    if (!Lease.plan().Engines.contains(name) &&
        e.Instance.State == membership::InstanceState::Live)
      unassigned.push_back(name);
  if (unassigned.empty())
    co_return;
  int64_t initialPrefill = s->InitialPrefill;
  PlanLease::Change add = [unassigned, initialPrefill](PoolPlan p) {
    for (const std::string &it : unassigned) {
      int64_t prefill = std::count_if(
          p.Engines.begin(), p.Engines.end(), [](const auto &known) {
            return known.second.Role == EngineRole::Prefill;
          });
      p.Engines[it].Role =
          prefill < initialPrefill ? EngineRole::Prefill : EngineRole::Decode;
    }
    return p;
  };
  co_await Lease.update(add);
}

Awaitable<void> PoolManager::decideLoop() {
  for (;;) {
    co_await sleepFor(Node.Options.milliseconds(DecideInterval));
    sampleDemand();
    if (!Lease.mayAct())
      continue;
    reconcile();
    decide();
  }
}

void PoolManager::sampleDemand() {
  MonoTime now = MonoClock::now();
  PendingDemand.Interval = Seconds(toSeconds(now - LastSample));
  LastSample = now;
  Seconds interval = PendingDemand.Interval;
  roles::EstimatorTimeConstants times;
  times.Fast = Seconds(toSeconds(Node.Options.milliseconds(FastEstimate)));
  times.Slow = Seconds(toSeconds(Node.Options.milliseconds(SlowEstimate)));
  // A new holder has not received any report yet, which does not mean that the
  // demand is zero.
  if (countReportingEntries() > 0)
    roles::addSample(Demand, PendingDemand, times);
  PendingDemand = roles::DemandSample();
  Workspaces.sample(interval);
}

bool PoolManager::isPinned(const std::string &engine) const {
  const config::EnginePoolSpec *s = spec();
  return s && (contains(s->PinnedPrefill, engine) ||
               contains(s->PinnedDecode, engine));
}

/// Returns the role that operators pinned, or the role in the plan if none is
/// pinned.
EngineRole PoolManager::targetRole(const std::string &engine) const {
  const config::EnginePoolSpec *s = spec();
  if (s && contains(s->PinnedPrefill, engine))
    return EngineRole::Prefill;
  if (s && contains(s->PinnedDecode, engine))
    return EngineRole::Decode;
  return Lease.plan().Engines.at(engine).Role;
}

/// Starts role changes of engines that do not have their target role, such as a
/// restarted engine in its default role.
void PoolManager::reconcile() {
  const std::map<std::string, EngineInfo> &engines = Table.all();
  size_t limit = std::max<size_t>(1, engines.size() / 2);
  for (const auto &[name, e] : engines) {
    bool mayChange = Lease.plan().Engines.contains(name) && e.Report &&
                     e.Report->Role != targetRole(name) &&
                     !plan::unfinishedOrder(Lease.plan(), name) &&
                     Table.stateOf(e, Lease.plan()) == EngineState::Serving;
    if (mayChange && Orders.running() < limit)
      Orders.startRoleChange(name, targetRole(name));
  }
}

roles::RoleView PoolManager::makeRoleView() const {
  roles::RoleView v;
  v.Spec = *spec();
  v.Pool.Pool = Pool;
  v.Pool.Speeds = routing::speedsOf(v.Spec);
  const PoolPlan &p = Lease.plan();
  for (const auto &[name, e] : Table.all()) {
    routing::EngineView engine = toRoleView(e, Table.stateOf(e, p));
    engine.Frozen = isPinned(name) ||
                    plan::isFrozen(p, name, v.Spec.ChecksFencing) ||
                    plan::unfinishedOrder(p, name).has_value();
    v.Pool.Engines.push_back(std::move(engine));
  }
  v.DemandAverages = Demand;
  const settings::Settings &s = Node.Options;
  v.Times.Horizon = Seconds(toSeconds(s.milliseconds(Horizon)));
  v.Times.Drain = Seconds(toSeconds(s.milliseconds(ExpectedDrain)));
  v.Times.MinBetweenChanges =
      Seconds(toSeconds(s.milliseconds(MinBetweenChanges)));
  v.Now = MonoClock::now();
  v.LastChange = LastChange;
  return v;
}

void PoolManager::decide() {
  if (!spec() || Orders.running() > 0)
    return;
  std::optional<roles::RoleChange> change = roles::decideRoles(makeRoleView());
  if (!change)
    return;
  LastChange = MonoClock::now();
  log::info(
      log::Category::Roles,
      "pool {}: changing engine {} to {}; gain {:.1f} requests, cost {:.1f}",
      Pool, change->Engine, routing::toString(change->To), change->Gain,
      change->Cost);
  Node.Metrics.count("sardineford_role_changes_total", {{"pool", Pool}});
  Node.Recorder.record({.Kind = timeline::EventKind::RoleChanged,
                        .Pool = Pool,
                        .Engine = change->Engine,
                        .Epoch = Lease.plan().Epoch,
                        .Detail = std::string(routing::toString(change->To))});
  Orders.startRoleChange(change->Engine, change->To);
}

size_t PoolManager::countReportingEntries() const {
  MonoTime now = MonoClock::now();
  return static_cast<size_t>(std::count_if(
      EntryReports.begin(), EntryReports.end(), [&](const auto &it) {
        return now - it.second.ReceivedAt < MaxReportAge;
      }));
}

/// Returns whether every listed entry process has reported a view from after
/// `since` and no request at the engine. A lost entry process stays listed
/// until the instance list marks it as gone. The engine is not released before
/// that, since a paused process may still send requests.
bool PoolManager::isReleased(const std::string &engine,
                             timeline::HybridTime since) const {
  for (const membership::Instance &it : Node.instances()) {
    if (it.Kind != membership::InstanceKind::Entry ||
        it.State == membership::InstanceState::Gone)
      continue;
    auto known = EntryReports.find(it.Name);
    if (known == EntryReports.end() || known->second.ViewTime < since ||
        known->second.EnginesInUse.contains(engine))
      return false;
  }
  return true;
}

bool PoolManager::isUnreachable() const {
  Milliseconds timeout = Node.Options.milliseconds(StepDownAfter);
  if (MonoClock::now() - HolderSince < timeout)
    return false;
  bool anyListed = std::any_of(
      Node.instances().begin(), Node.instances().end(), [](const auto &it) {
        return it.Kind == membership::InstanceKind::Entry &&
               it.State == membership::InstanceState::Live;
      });
  return anyListed &&
         std::none_of(
             EntryReports.begin(), EntryReports.end(), [&](const auto &it) {
               return MonoClock::now() - it.second.ReceivedAt < timeout;
             });
}

void PoolManager::addWorkspaceRates(messages::PoolView &out) const {
  if (!spec())
    return;
  routing::PoolView pool;
  pool.Speeds = routing::speedsOf(*spec());
  pool.Engines.resize(Table.all().size());
  Workspaces.addExceededShares(out, Node.Exchange.config().catalog(),
                               admission::poolCapacity(pool));
}

messages::PoolView PoolManager::view() const {
  messages::PoolView out;
  out.set_time(Node.Recorder.clock().now().Value);
  out.set_pool(Pool);
  out.set_holding(Lease.isLastHolder());
  const PoolPlan &p = Lease.plan();
  out.set_epoch(p.Epoch);
  out.set_reporting_nodes(countReportingEntries());
  bool checksFencing = spec() && spec()->ChecksFencing;
  for (const auto &[name, e] : Table.all()) {
    if (e.Instance.State == membership::InstanceState::Gone)
      continue;
    messages::EngineLoad *load = out.add_engines();
    load->set_name(name);
    load->set_address(http::toString(e.Instance.Address));
    load->set_state(toMessage(Table.stateOf(e, p)));
    load->set_frozen(plan::isFrozen(p, name, checksFencing));
    fillReport(*load, e);
  }
  addWorkspaceRates(out);
  return out;
}

messages::PoolView PoolManager::handleReport(const messages::LoadReport &in) {
  const messages::PoolDemand &d = in.demand();
  EntryReport &entry = EntryReports[in.node()];
  entry.ReceivedAt = MonoClock::now();
  entry.ViewTime.Value = in.view_time();
  entry.EnginesInUse = {in.engines_in_use().begin(), in.engines_in_use().end()};
  PendingDemand.Requests += static_cast<double>(d.requests());
  PendingDemand.PromptTokens += static_cast<double>(d.prompt_tokens());
  PendingDemand.OutputTokens += static_cast<double>(d.output_tokens());
  for (const messages::WorkspaceDemand &it : d.workspaces())
    Workspaces.add(it.workspace(), it.tokens());
  return view();
}

messages::RenounceReply
PoolManager::handleRenounce(const messages::RenounceRequest &in) {
  messages::RenounceReply out;
  out.set_time(Node.Recorder.clock().now().Value);
  if (in.incarnation() != Node.Incarnation) {
    out.set_replaced(true);
    return out;
  }
  switch (Orders.renounce(in.order())) {
  case OrderRunner::RenounceResult::Renounced:
    out.set_answer(messages::RENOUNCED);
    break;
  case OrderRunner::RenounceResult::Ended:
    out.set_answer(messages::ENDED);
    break;
  case OrderRunner::RenounceResult::Unknown:
    out.set_answer(messages::UNKNOWN);
    break;
  }
  return out;
}

} // namespace sardineford::controller
