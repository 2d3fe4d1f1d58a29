#include "Controller/OrderRunner.h"

#include "Controller/ControllerSettings.h"
#include "Messages/Messages.pb.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Common/Random.h"

#include <algorithm>

namespace sardineford::controller {

using engine::EngineError;
using engine::EngineFailure;
using engine::OrderOutcome;
using plan::Order;
using plan::PoolPlan;
using routing::EngineRole;
using timeline::EventKind;

namespace {

constexpr const char *RenouncePath = "/renounce";
constexpr Milliseconds StatePollInterval{100};
constexpr Milliseconds ResendDelay{200};
constexpr Milliseconds RenounceTimeout{1'000};

} // namespace

OrderRunner::OrderRunner(node::Node &node, engine::EngineClient &engines,
                         PlanLease &lease, EngineTable &table, std::string pool,
                         IsReleased isReleased)
    : Node(node), Engines(engines), Lease(lease), Table(table),
      Pool(std::move(pool)), IsEngineReleased(std::move(isReleased)) {}

void OrderRunner::record(EventKind kind, const Order &o, std::string detail) {
  Node.Recorder.record({.Kind = kind,
                        .Pool = Pool,
                        .Engine = o.Engine,
                        .Order = o.Id,
                        .Epoch = o.Epoch,
                        .Detail = std::move(detail)});
}

bool OrderRunner::checksFencing() const {
  const config::Catalog &c = Node.Exchange.config().catalog();
  auto it = c.Pools.find(Pool);
  return it == c.Pools.end() || it->second.ChecksFencing;
}

void OrderRunner::startRoleChange(const std::string &engine, EngineRole to) {
  if (!Busy.insert(engine).second)
    return;
  spawn(Node.Io, "change-" + engine, [this, engine, to]() -> Awaitable<void> {
    try {
      co_await change(engine, to);
    } catch (const Error &e) {
      log::warn(log::Category::Plan, "role change of engine {} failed: {}",
                engine, e.what());
    }
    Busy.erase(engine);
  });
}

Awaitable<void> OrderRunner::change(std::string engine, EngineRole to) {
  if (Node.Options.get(DrainFirst) && !co_await drain(engine)) {
    co_await undrain(engine);
    co_return;
  }
  Order order;
  order.Id = makeId();
  order.Engine = engine;
  order.TargetRole = to;
  order.Epoch = Lease.plan().Epoch;
  order.Issuer = Lease.self();
  PlanLease::Change add = [order](PoolPlan p) {
    return plan::recordOrder(std::move(p), order);
  };
  if (!co_await Lease.update(add))
    co_return;
  record(EventKind::OrderRecorded, order, std::string(routing::toString(to)));
  co_await execute(std::move(order));
}

/// Marks the engine as draining, and waits until every entry process has
/// applied the mark and has no request at the engine. Then waits until the
/// engine also reports that it is idle.
Awaitable<bool> OrderRunner::drain(std::string engine) {
  PlanLease::Change mark = [engine](PoolPlan p) {
    p.Engines[engine].Draining = true;
    return p;
  };
  if (!co_await Lease.update(mark))
    co_return false;
  timeline::HybridTime marked = Node.Recorder.clock().now();
  if (!co_await waitUntilReleased(engine, marked))
    co_return false;
  co_await sleepFor(Node.Options.milliseconds(DrainMark));
  co_return co_await waitUntilIdle(std::move(engine));
}

Awaitable<bool> OrderRunner::waitUntilReleased(std::string engine,
                                               timeline::HybridTime marked) {
  MonoTime limit = MonoClock::now() + Node.Options.milliseconds(DrainLimit);
  while (MonoClock::now() < limit && Lease.mayAct()) {
    if (IsEngineReleased(engine, marked))
      co_return true;
    co_await sleepFor(StatePollInterval);
  }
  co_return false;
}

Awaitable<bool> OrderRunner::waitUntilIdle(std::string engine) {
  MonoTime start = MonoClock::now();
  MonoTime limit = start + Node.Options.milliseconds(DrainLimit);
  while (MonoClock::now() < limit && Lease.mayAct()) {
    const EngineInfo *e = Table.find(engine);
    bool isIdle = e && e->Report && e->ReportRequestedAt > start &&
                  e->Report->Running + e->Report->Waiting == 0;
    if (isIdle)
      co_return true;
    co_await sleepFor(StatePollInterval);
  }
  co_return false;
}

Awaitable<void> OrderRunner::undrain(std::string engine) {
  PlanLease::Change unmark = [engine](PoolPlan p) {
    p.Engines[engine].Draining = false;
    return p;
  };
  co_await Lease.update(unmark);
}

/// Sends a recorded order until its result is known or the lease is lost.
Awaitable<void> OrderRunner::execute(Order order) {
  bool maySendAgain = true;
  while (Lease.isLastHolder()) {
    if (maySendAgain) {
      SendResult sent = co_await send(order);
      if (sent == SendResult::Done) {
        co_await end(order, true);
        co_return;
      }
      if (sent == SendResult::Rejected) {
        // A holder with a later epoch has taken over.
        co_return;
      }
      // At an engine that does not check fencing numbers, a delayed copy may
      // arrive after a later order, so an order is not sent twice.
      maySendAgain = sent == SendResult::NotSent || checksFencing();
    }
    Resolution r = co_await findResolution(order);
    if (r.Resolved) {
      co_await end(order, r.Done);
      co_return;
    }
    co_await sleepFor(ResendDelay);
  }
}

Awaitable<OrderRunner::SendResult> OrderRunner::send(Order order) {
  const EngineInfo *e = Table.find(order.Engine);
  if (!e)
    co_return SendResult::NotSent;
  engine::EngineOrder message;
  message.Id = order.Id;
  message.Epoch = Node.Options.get(Fencing) ? order.Epoch : 0;
  message.Role = order.TargetRole;
  bool checkLease = Node.Options.get(CheckLeaseBeforeSend);
  std::function<bool()> gate = [this, order, checkLease] {
    IssuedOrder &s = Orders[order.Id];
    if (s.Renounced || (checkLease && !Lease.mayAct()))
      return false;
    s.MaybeInFlight = true;
    const EngineInfo *to = Table.find(order.Engine);
    s.EngineIncarnation = to && to->Report ? to->Report->Incarnation : "";
    record(EventKind::OrderSent, order);
    return true;
  };
  try {
    OrderOutcome outcome =
        co_await Engines.order(e->Instance.Address, message, gate,
                               Node.Options.milliseconds(OrderTimeout));
    IssuedOrder &s = Orders[order.Id];
    s.MaybeInFlight = false;
    s.Done = outcome == OrderOutcome::Done;
    s.Renounced = outcome == OrderOutcome::StaleFencingNumber;
    if (s.Done)
      co_return SendResult::Done;
    co_return s.Renounced ? SendResult::Rejected : SendResult::NotSent;
  } catch (const EngineError &error) {
    log::warn(log::Category::Plan, "sending order {} to engine {} failed: {}",
              order.Id, order.Engine, error.what());
    co_return error.Failure == EngineFailure::NotExecuted ? SendResult::NotSent
                                                          : SendResult::Unknown;
  }
}

Awaitable<void> OrderRunner::end(Order order, bool done) {
  record(EventKind::OrderDone, order, done ? "done" : "not done");
  PlanLease::Change remove = [id = order.Id, done](PoolPlan p) {
    return plan::endOrder(std::move(p), id, done);
  };
  while (Lease.isLastHolder() && !co_await Lease.update(remove))
    co_await sleepFor(StatePollInterval);
}

bool OrderRunner::reportShowsEnded(const Order &order) const {
  const EngineInfo *e = Table.find(order.Engine);
  if (!e || !e->Report)
    return false;
  const std::vector<std::string> &ended = e->Report->EndedOrders;
  return std::find(ended.begin(), ended.end(), order.Id) != ended.end();
}

/// Returns whether the order can have no further effect that has not been
/// observed.
Awaitable<OrderRunner::Resolution> OrderRunner::findResolution(Order order) {
  if (reportShowsEnded(order))
    co_return Resolution{true, true};
  const EngineInfo *e = Table.find(order.Engine);
  if (e && e->Instance.State == membership::InstanceState::Gone)
    co_return Resolution{true, false};
  if (order.Issuer.Incarnation == Lease.self().Incarnation)
    co_return localResolution(order);
  co_return co_await requestRenounce(std::move(order));
}

OrderRunner::Resolution OrderRunner::localResolution(const Order &order) {
  const IssuedOrder &s = Orders[order.Id];
  if (s.Done)
    return {true, true};
  if (s.Renounced)
    return {true, false};
  if (!s.MaybeInFlight)
    return {};
  // A restarted engine has lost the connection on which the order was sent.
  const EngineInfo *e = Table.find(order.Engine);
  bool restarted = e && e->Report && !s.EngineIncarnation.empty() &&
                   e->Report->Incarnation != s.EngineIncarnation;
  return {restarted, false};
}

/// Requests that a lost holder renounces its order.
Awaitable<OrderRunner::Resolution> OrderRunner::requestRenounce(Order order) {
  messages::RenounceRequest request;
  request.set_time(Node.Recorder.clock().now().Value);
  request.set_pool(Pool);
  request.set_order(order.Id);
  request.set_incarnation(order.Issuer.Incarnation);
  messages::RenounceReply reply;
  try {
    std::string body = co_await Node.RpcClient.call(
        http::parseEndpoint(order.Issuer.Address), RenouncePath,
        request.SerializeAsString(), RenounceTimeout);
    reply.ParseFromString(body);
  } catch (const Error &e) {
    log::debug(log::Category::Plan, "renounce request for order {} failed: {}",
               order.Id, e.what());
    co_return Resolution();
  }
  bool done = reply.answer() == messages::ENDED;
  if (reply.answer() == messages::RENOUNCED || done)
    co_return Resolution{true, done};
  if (!reply.replaced())
    co_return Resolution();
  // Another process has the address, so the issuer has ended. Data that the
  // issuer sent may still arrive for a bounded time.
  auto [it, isNew] = ReplacedSince.try_emplace(order.Id, MonoClock::now());
  bool passed = MonoClock::now() - it->second >=
                Node.Options.milliseconds(GoneQuarantine);
  co_return Resolution{passed, false};
}

OrderRunner::RenounceResult OrderRunner::renounce(const std::string &order) {
  IssuedOrder &s = Orders[order];
  if (s.Done)
    return RenounceResult::Ended;
  if (s.MaybeInFlight)
    return RenounceResult::Unknown;
  s.Renounced = true;
  return RenounceResult::Renounced;
}

void OrderRunner::resolveInheritedOrders() {
  for (const Order &it : Lease.plan().Unfinished) {
    if (!Busy.insert(it.Engine).second)
      continue;
    bool freeze = !checksFencing() && Node.Options.get(Freezing);
    spawn(Node.Io, "resolve-" + it.Engine,
          [this, order = it, freeze]() -> Awaitable<void> {
            try {
              if (freeze)
                co_await resolveFrozen(order);
              else
                co_await reissue(order);
            } catch (const Error &e) {
              log::warn(log::Category::Plan, "resolving order {} failed: {}",
                        order.Id, e.what());
            }
            Busy.erase(order.Engine);
          });
  }
}

/// Issues an order of a lost holder again, under the new epoch, to an engine
/// that checks fencing numbers. From then on the engine rejects the old copy.
Awaitable<void> OrderRunner::reissue(Order order) {
  Order reissued = order;
  reissued.Epoch = Lease.plan().Epoch;
  reissued.Issuer = Lease.self();
  PlanLease::Change replaceOrder = [reissued](PoolPlan p) {
    for (Order &it : p.Unfinished)
      if (it.Id == reissued.Id)
        it = reissued;
    return p;
  };
  if (!co_await Lease.update(replaceOrder))
    co_return;
  if (!checksFencing()) {
    // Freezing is disabled by the settings: the order is dropped.
    co_await end(reissued, false);
    co_return;
  }
  timeline::HybridTime marked = Node.Recorder.clock().now();
  bool isFree = co_await waitUntilReleased(reissued.Engine, marked) &&
                co_await waitUntilIdle(reissued.Engine);
  if (isFree)
    co_await execute(std::move(reissued));
}

/// Keeps the engine frozen until an order of a lost holder can have no further
/// effect.
Awaitable<void> OrderRunner::resolveFrozen(Order order) {
  record(EventKind::EngineFrozen, order);
  while (Lease.isLastHolder()) {
    Resolution r = co_await findResolution(order);
    if (r.Resolved) {
      record(EventKind::EngineThawed, order, r.Done ? "done" : "not done");
      co_await end(order, r.Done);
      co_return;
    }
    co_await sleepFor(StatePollInterval);
  }
}

} // namespace sardineford::controller
