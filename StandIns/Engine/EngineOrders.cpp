#include "StandIns/Engine/Engine.h"
#include "StandIns/Engine/Reply.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace sardineford::standins {

namespace json = boost::json;
using timeline::EventKind;

namespace {

constexpr size_t MaxEndedOrders = 64;
constexpr int CrashExitCode = 137;

} // namespace

Awaitable<http::Response> Engine::order(const http::Request &request) {
  json::object body = json::parse(request.Body).as_object();
  if (OrderDelay.count() > 0)
    co_await sleepFor(OrderDelay);
  std::string id = stringField(body, "id");
  std::string kind = stringField(body, "kind");
  uint64_t epoch = numberField(body, "epoch");
  timeline::Event e{.Engine = Options.Name, .Order = id, .Epoch = epoch};
  e.Detail = kind + " " + stringField(body, "role");
  if (Options.CheckFencing && epoch < HighestEpoch) {
    e.Kind = EventKind::OrderRefused;
    Recorder.record(e);
    co_return makeError(409, "stale fencing number");
  }
  HighestEpoch = std::max(HighestEpoch, epoch);
  // Only a duplicate of the last order is detected; a delayed copy of an older
  // order is executed again.
  bool ended = !EndedOrders.empty() && EndedOrders.back() == id;
  if (ended || kind == "fence")
    co_return makeDone();
  if (OrderRunning) {
    e.Kind = EventKind::OrderRefused;
    e.Detail += " busy";
    Recorder.record(e);
    co_return makeError(503, "busy with an order");
  }
  e.Kind = EventKind::OrderRan;
  Recorder.record(e);
  OrderRunning = true;
  for (const SequencePtr &it : ActiveBatch.cancelAll())
    recordEvent(EventKind::EngineCut, it, "order " + id);
  co_await runOrder(kind, stringField(body, "role"));
  OrderRunning = false;
  EndedOrders.push_back(id);
  if (EndedOrders.size() > MaxEndedOrders)
    EndedOrders.pop_front();
  e.Kind = EventKind::OrderEnded;
  Recorder.record(e);
  co_return makeDone();
}

Awaitable<void> Engine::runOrder(std::string kind, std::string role) {
  bool isRole = kind == "role";
  Milliseconds time =
      isRole ? Options.RoleChangeTime : Options.DefaultOrderTime;
  co_await sleepFor(ActiveBatch.scaled(time / 2));
  if (CrashInOrder)
    std::_Exit(CrashExitCode);
  co_await sleepFor(ActiveBatch.scaled(time / 2));
  if (isRole)
    ActiveBatch.Role = parseEngineRole(role);
}

http::Response Engine::admin(const http::Request &request) {
  json::object body = json::parse(request.Body).as_object();
  if (body.contains("leaving"))
    Leaving = body.at("leaving").as_bool();
  if (body.contains("slowdown"))
    ActiveBatch.Slowdown = body.at("slowdown").to_number<double>();
  if (body.contains("crash_in_order"))
    CrashInOrder = body.at("crash_in_order").as_bool();
  if (body.contains("order_delay_ms"))
    OrderDelay = Milliseconds(numberField(body, "order_delay_ms"));
  if (body.contains("report_lag_ms"))
    Options.ReportLag = Milliseconds(numberField(body, "report_lag_ms"));
  if (Leaving)
    Recorder.record({.Kind = EventKind::EngineLeaving,
                     .Engine = Options.Name,
                     .Detail = Incarnation});
  return makeResponse(200, {});
}

} // namespace sardineford::standins
