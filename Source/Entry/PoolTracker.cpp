#include "Entry/PoolTracker.h"

#include "Entry/EntrySettings.h"
#include "Messages/Messages.pb.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Common/Random.h"
#include "Sardineford/Routing/Speeds.h"

#include <algorithm>

namespace sardineford::entry {

using membership::Instance;
using membership::InstanceKind;
using membership::InstanceState;
using routing::EngineState;
using routing::EngineView;

namespace {

constexpr const char *LoadPath = "/load";
constexpr Milliseconds ReportTimeout{1'000};

EngineState toState(messages::EngineState s) {
  switch (s) {
  case messages::DRAINING:
    return EngineState::Draining;
  case messages::CHANGING:
    return EngineState::Changing;
  case messages::LEAVING:
    return EngineState::Leaving;
  case messages::LOST:
    return EngineState::Lost;
  default:
    return EngineState::Serving;
  }
}

EngineView toView(const messages::EngineLoad &in) {
  EngineView e;
  e.Name = in.name();
  e.Address = http::parseEndpoint(in.address());
  e.Incarnation = in.incarnation();
  e.Role = routing::parseRole(in.role());
  e.State = toState(in.state());
  e.QueuedPrefillTokens = in.queued_prefill_tokens();
  e.Running = in.running();
  e.Waiting = in.waiting();
  e.UsedPieces = in.used_pieces();
  e.TotalPieces = in.total_pieces();
  e.Age = Milliseconds(in.age_ms());
  e.Frozen = in.frozen();
  e.Prefixes.assign(in.prefixes().begin(), in.prefixes().end());
  return e;
}

} // namespace

PoolTracker::PoolTracker(node::Node &node, std::string pool)
    : Node(node), Pool(std::move(pool)) {}

routing::EngineSpeeds PoolTracker::speeds() const {
  const config::Catalog &catalog = Node.Exchange.config().catalog();
  auto it = catalog.Pools.find(Pool);
  return it == catalog.Pools.end() ? routing::EngineSpeeds()
                                   : routing::speedsOf(it->second);
}

/// Adds the local attempts that began after the report of the engine. The other
/// processes send as much on average, so each attempt counts once per process.
void PoolTracker::addLocalWork(EngineView &e) const {
  MonoTime reportTime =
      ViewReceivedAt - e.Age - Node.Options.milliseconds(ReportLag);
  for (const std::weak_ptr<LocalAttempt> &it : LocalAttempts) {
    std::shared_ptr<LocalAttempt> attempt = it.lock();
    bool isInReport =
        attempt && !attempt->Pending && attempt->SentAt < reportTime;
    if (!attempt || attempt->Engine != e.Name || isInReport)
      continue;
    e.LocalRunning += Processes;
    if (!attempt->Prefilled)
      e.LocalPrefillTokens += attempt->PrefillTokens * Processes;
  }
}

routing::PoolView PoolTracker::view(const std::vector<std::string> &excluded) {
  std::erase_if(LocalAttempts, [](const auto &it) { return it.expired(); });
  routing::PoolView v;
  v.Pool = Pool;
  v.Epoch = Epoch;
  v.Processes = Processes;
  v.Speeds = speeds();
  MonoTime now = MonoClock::now();
  for (const EngineView &it : Engines) {
    EngineView e = it;
    bool isExcluded =
        std::find(excluded.begin(), excluded.end(), e.Name) != excluded.end();
    e.Ejected = isExcluded || Ejections.isEjected(e.Name, now, Engines.size());
    bool heedLeaving = Node.Options.get(HeedLeaving);
    if (heedLeaving && Node.Exchange.isLeaving(e.Name, e.Incarnation))
      e.State = EngineState::Leaving;
    if (!heedLeaving && e.State == EngineState::Leaving)
      e.State = EngineState::Serving;
    addLocalWork(e);
    v.Engines.push_back(std::move(e));
  }
  return v;
}

std::shared_ptr<LocalAttempt> PoolTracker::beginAttempt(std::string engine,
                                                        uint64_t tokens) {
  auto attempt = std::make_shared<LocalAttempt>();
  attempt->Engine = std::move(engine);
  attempt->PrefillTokens = tokens;
  attempt->SentAt = MonoClock::now();
  LocalAttempts.push_back(attempt);
  return attempt;
}

void PoolTracker::recordDemand(const std::string &workspace,
                               uint64_t promptTokens, double outputTokens,
                               double cost) {
  ++Demand.Requests;
  Demand.PromptTokens += promptTokens;
  Demand.OutputTokens += outputTokens;
  Demand.TokensByWorkspace[workspace] += static_cast<uint64_t>(cost);
  Retries.deposit();
}

admission::WorkspaceShare
PoolTracker::shareOf(const std::string &workspace) const {
  auto it = Shares.find(workspace);
  return it == Shares.end() ? admission::WorkspaceShare() : it->second;
}

bool PoolTracker::isDrainingOrLeaving(const std::string &engine) const {
  return std::any_of(Engines.begin(), Engines.end(), [&](const EngineView &e) {
    return e.Name == engine && (e.State == EngineState::Draining ||
                                e.State == EngineState::Leaving);
  });
}

void PoolTracker::recordEngineFailure(const std::string &engine) {
  Ejections.failed(engine, MonoClock::now());
}

void PoolTracker::recordEngineSuccess(const std::string &engine) {
  Ejections.succeeded(engine);
}

void PoolTracker::markEngineLeaving(const std::string &engine) {
  for (const EngineView &it : Engines)
    if (it.Name == engine && !it.Incarnation.empty())
      Node.Exchange.markLeaving(engine, it.Incarnation);
}

std::optional<http::Endpoint> PoolTracker::holderAddress() const {
  std::optional<exchange::LeaseHolder> h = Node.Exchange.holderOf(Pool);
  return h ? std::optional(h->Address) : std::nullopt;
}

std::string PoolTracker::makeReport() {
  UnreportedDemand d = std::exchange(Demand, UnreportedDemand());
  messages::LoadReport out;
  out.set_time(Node.Recorder.clock().now().Value);
  out.set_node(Node.Name);
  Milliseconds interval = toMilliseconds(MonoClock::now() - d.Since);
  out.set_interval_ms(static_cast<uint64_t>(interval.count()));
  messages::PoolDemand *demand = out.mutable_demand();
  demand->set_pool(Pool);
  demand->set_requests(d.Requests);
  demand->set_prompt_tokens(d.PromptTokens);
  demand->set_output_tokens(static_cast<uint64_t>(d.OutputTokens));
  demand->set_in_flight(LocalAttempts.size());
  for (const auto &[name, tokens] : d.TokensByWorkspace) {
    messages::WorkspaceDemand *w = demand->add_workspaces();
    w->set_workspace(name);
    w->set_tokens(tokens);
  }
  out.set_view_time(ViewTime.Value);
  std::set<std::string> inUse;
  for (const std::weak_ptr<LocalAttempt> &it : LocalAttempts)
    if (std::shared_ptr<LocalAttempt> attempt = it.lock())
      inUse.insert(attempt->Engine);
  for (const std::string &it : inUse)
    out.add_engines_in_use(it);
  return out.SerializeAsString();
}

void PoolTracker::applyView(const std::string &body) {
  messages::PoolView in;
  if (!in.ParseFromString(body) || !in.holding() || in.epoch() < Epoch)
    return;
  Node.Recorder.clock().observe({in.time()});
  Epoch = in.epoch();
  ViewTime.Value = in.time();
  Processes = std::max<uint64_t>(1, in.reporting_nodes());
  Engines.clear();
  for (const messages::EngineLoad &it : in.engines())
    Engines.push_back(toView(it));
  Shares.clear();
  for (const messages::WorkspaceRate &it : in.rates())
    Shares[it.workspace()] = {it.tokens_per_second(), it.allowed_per_second()};
  ViewReceivedAt = MonoClock::now();
}

/// Fills the engines from the instance list until a view of the holder arrives.
void PoolTracker::applyInstanceList() {
  if (!Engines.empty())
    return;
  for (const Instance &it : Node.instances()) {
    if (it.Kind != InstanceKind::Engine || it.Group != Pool ||
        it.State != InstanceState::Live)
      continue;
    EngineView e;
    e.Name = it.Name;
    e.Address = it.Address;
    Engines.push_back(std::move(e));
  }
  ViewReceivedAt = MonoClock::now();
}

Awaitable<void> PoolTracker::report() {
  std::optional<http::Endpoint> holder = holderAddress();
  if (!holder) {
    applyInstanceList();
    co_return;
  }
  try {
    std::string reply = co_await Node.RpcClient.call(
        *holder, LoadPath, makeReport(), ReportTimeout);
    applyView(reply);
  } catch (const Error &e) {
    log::debug(log::Category::Entry,
               "report to the holder of pool {} failed: {}", Pool, e.what());
    applyInstanceList();
  }
}

Awaitable<void> PoolTracker::reportLoop() {
  for (;;) {
    co_await report();
    co_await sleepFor(jittered(Node.Options.milliseconds(ViewInterval)));
  }
}

} // namespace sardineford::entry
