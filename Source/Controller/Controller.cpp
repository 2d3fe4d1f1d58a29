#include "Controller/Controller.h"

#include "Sardineford/Http/Status.h"

#include <boost/json.hpp>

namespace sardineford::controller {

namespace json = boost::json;

namespace {

constexpr const char *LoadPath = "/load";
constexpr const char *RenouncePath = "/renounce";
constexpr size_t MaxBodyBytes = size_t{64} * 1024;

json::object describeEngine(const messages::EngineLoad &e) {
  return {{"name", e.name()},
          {"address", e.address()},
          {"role", e.role()},
          {"state", messages::EngineState_Name(e.state())},
          {"running", e.running()},
          {"waiting", e.waiting()},
          {"queued_prefill_tokens", e.queued_prefill_tokens()},
          {"frozen", e.frozen()}};
}

json::object describePool(const PoolManager &manager) {
  messages::PoolView v = manager.view();
  json::array engines;
  for (const messages::EngineLoad &it : v.engines())
    engines.push_back(describeEngine(it));
  json::array orders;
  for (const plan::Order &it : manager.lease().plan().Unfinished)
    orders.push_back(json::object{{"id", it.Id},
                                  {"engine", it.Engine},
                                  {"epoch", it.Epoch},
                                  {"issuer", it.Issuer.Name}});
  return {{"pool", v.pool()},
          {"holds", v.holding()},
          {"epoch", v.epoch()},
          {"engines", std::move(engines)},
          {"unfinished_orders", std::move(orders)}};
}

json::object describeMember(const exchange::Member &m) {
  return {{"name", m.Name},
          {"domain", m.FailureDomain},
          {"generation", m.Generation},
          {"ready", m.Ready},
          {"stopping", m.Stopping},
          {"controller", m.IsController}};
}

} // namespace

Controller::Controller(node::Node &node)
    : Node(node), Engines(node.Io, node.Client), GenerationPublisher(node) {
  Node.RpcServer.handle(LoadPath, [this](std::string body) {
    return handleLoadReport(std::move(body));
  });
  Node.RpcServer.handle(RenouncePath, [this](std::string body) {
    return handleRenounce(std::move(body));
  });
  Node.Exchange.onGenerationChanged([this] { startPoolManagers(); });
}

void Controller::start() {
  Node.serve([this](http::Request &request,
                    http::ResponseWriter &out) { return handle(request, out); },
             MaxBodyBytes);
  Node.start();
  GenerationPublisher.start();
}

void Controller::startPoolManagers() {
  for (const auto &[name, spec] : Node.Exchange.config().catalog().Pools) {
    if (PoolManagers.contains(name))
      continue;
    PoolManagers[name] = std::make_unique<PoolManager>(Node, Engines, name);
    PoolManagers[name]->start();
  }
}

PoolManager *Controller::findPoolManager(const std::string &pool) {
  auto it = PoolManagers.find(pool);
  return it == PoolManagers.end() ? nullptr : it->second.get();
}

Awaitable<std::string> Controller::handleLoadReport(std::string body) {
  messages::LoadReport in;
  in.ParseFromString(body);
  Node.Recorder.clock().observe({in.time()});
  PoolManager *manager = findPoolManager(in.demand().pool());
  messages::PoolView out;
  if (manager)
    out = manager->handleReport(in);
  co_return out.SerializeAsString();
}

Awaitable<std::string> Controller::handleRenounce(std::string body) {
  messages::RenounceRequest in;
  in.ParseFromString(body);
  Node.Recorder.clock().observe({in.time()});
  PoolManager *manager = findPoolManager(in.pool());
  messages::RenounceReply out;
  if (manager)
    out = manager->handleRenounce(in);
  else
    out.set_replaced(in.incarnation() != Node.Incarnation);
  co_return out.SerializeAsString();
}

http::Response Controller::status() const {
  json::array pools;
  for (const auto &[name, manager] : PoolManagers)
    pools.push_back(describePool(*manager));
  json::array members;
  uint64_t confirmed = 0;
  uint64_t generation = Node.Exchange.config().generation();
  for (const auto &[name, m] : Node.Exchange.members()) {
    members.push_back(describeMember(m));
    confirmed += m.Generation >= generation ? 1 : 0;
  }
  return http::jsonResponse(
      200, json::serialize(json::object{
               {"process", Node.Name},
               {"generation", generation},
               {"confirmed", confirmed},
               {"members", std::move(members)},
               {"publishes", GenerationPublisher.lease().isLastHolder()},
               {"pools", std::move(pools)}}));
}

Awaitable<void> Controller::handle(http::Request &request,
                                   http::ResponseWriter &out) {
  http::Response r;
  if (http::pathOf(request.Target) == "/status")
    r = status();
  else
    r = http::problem(http::StatusNotFound,
                      Error(ErrorKind::NotFound, "no such path",
                            "use /status, /healthz, /readyz, /metrics or "
                            "/events"),
                      Executed::No);
  co_await out.send(std::move(r));
}

} // namespace sardineford::controller
