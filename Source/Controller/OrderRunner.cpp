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
constexpr Milliseconds SettlePoll{100};
constexpr Milliseconds RetrySend{200};
constexpr Milliseconds RenounceTimeout{1'000};

} // namespace

OrderRunner::OrderRunner(node::Node &node, engine::EngineClient &engines,
                         PlanLease &lease, EngineTable &table, std::string pool,
                         IsReleased isReleased)
    : Node(node), Engines(engines), Lease(lease), Table(table),
      Pool(std::move(pool)), Released(std::move(isReleased)) {}

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

void OrderRunner::startChange(const std::string &engine, EngineRole to) {
  if (!Busy.insert(engine).second)
    return;
  spawn(Node.Io, "change-" + engine, [this, engine, to]() -> Awaitable<void> {
    try {
      co_await change(engine, to);
    } catch (const Error &e) {
      log::warn(log::Category::Plan, "role change of {}: {}", engine, e.what());
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
  co_await carryOut(std::move(order));
}

/// Marks the engine, waits until every entry process knows and has nothing
/// there, then until the engine says so too.
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
    if (Released(engine, marked))
      co_return true;
    co_await sleepFor(SettlePoll);
  }
  co_return false;
}

Awaitable<bool> OrderRunner::waitUntilIdle(std::string engine) {
  MonoTime begun = MonoClock::now();
  MonoTime limit = begun + Node.Options.milliseconds(DrainLimit);
  while (MonoClock::now() < limit && Lease.mayAct()) {
    const EngineInfo *e = Table.find(engine);
    bool isIdle = e && e->Report && e->ReportRequestedAt > begun &&
                  e->Report->Running + e->Report->Waiting == 0;
    if (isIdle)
      co_return true;
    co_await sleepFor(SettlePoll);
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

/// Sends a recorded order until its outcome is known or the lease is lost.
Awaitable<void> OrderRunner::carryOut(Order order) {
  bool maySendAgain = true;
  while (Lease.isLastHolder()) {
    if (maySendAgain) {
      Sent sent = co_await send(order);
      if (sent == Sent::Done) {
        co_await end(order, true);
        co_return;
      }
      if (sent == Sent::Refused) {
        // A holder with a later epoch has taken over.
        co_return;
      }
      // An engine that does not check fencing numbers may get a late copy
      // behind a later order, so nothing is sent to it twice.
      maySendAgain = sent == Sent::NotSent || checksFencing();
    }
    Settlement s = co_await settlement(order);
    if (s.Settled) {
      co_await end(order, s.Done);
      co_return;
    }
    co_await sleepFor(RetrySend);
  }
}

Awaitable<OrderRunner::Sent> OrderRunner::send(Order order) {
  const EngineInfo *e = Table.find(order.Engine);
  if (!e)
    co_return Sent::NotSent;
  engine::EngineOrder message;
  message.Id = order.Id;
  message.Epoch = Node.Options.get(Fencing) ? order.Epoch : 0;
  message.Role = order.TargetRole;
  bool checkLease = Node.Options.get(CheckLeaseBeforeSend);
  std::function<bool()> gate = [this, order, checkLease] {
    Sending &s = Orders[order.Id];
    if (s.Renounced || (checkLease && !Lease.mayAct()))
      return false;
    s.GivenToSocket = true;
    const EngineInfo *to = Table.find(order.Engine);
    s.EngineIncarnation = to && to->Report ? to->Report->Incarnation : "";
    record(EventKind::OrderSent, order);
    return true;
  };
  try {
    OrderOutcome outcome =
        co_await Engines.order(e->Instance.Address, message, gate,
                               Node.Options.milliseconds(OrderTimeout));
    Sending &s = Orders[order.Id];
    s.GivenToSocket = false;
    s.Done = outcome == OrderOutcome::Done;
    s.Renounced = outcome == OrderOutcome::OldFencingNumber;
    if (s.Done)
      co_return Sent::Done;
    co_return s.Renounced ? Sent::Refused : Sent::NotSent;
  } catch (const EngineError &error) {
    log::warn(log::Category::Plan, "order {} to {}: {}", order.Id, order.Engine,
              error.what());
    co_return error.Failure == EngineFailure::NotRun ? Sent::NotSent
                                                     : Sent::Unclear;
  }
}

Awaitable<void> OrderRunner::end(Order order, bool done) {
  record(EventKind::OrderDone, order, done ? "done" : "not done");
  PlanLease::Change remove = [id = order.Id, done](PoolPlan p) {
    return plan::endOrder(std::move(p), id, done);
  };
  while (Lease.isLastHolder() && !co_await Lease.update(remove))
    co_await sleepFor(SettlePoll);
}

bool OrderRunner::reportShowsEnded(const Order &order) const {
  const EngineInfo *e = Table.find(order.Engine);
  if (!e || !e->Report)
    return false;
  const std::vector<std::string> &ended = e->Report->EndedOrders;
  return std::find(ended.begin(), ended.end(), order.Id) != ended.end();
}

/// Whether an order can have no effect any more that is not seen already.
Awaitable<OrderRunner::Settlement> OrderRunner::settlement(Order order) {
  if (reportShowsEnded(order))
    co_return Settlement{true, true};
  const EngineInfo *e = Table.find(order.Engine);
  if (e && e->Instance.State == membership::InstanceState::Gone)
    co_return Settlement{true, false};
  if (order.Issuer.Incarnation == Lease.self().Incarnation)
    co_return ownSettlement(order);
  co_return co_await askIssuer(std::move(order));
}

OrderRunner::Settlement OrderRunner::ownSettlement(const Order &order) {
  const Sending &s = Orders[order.Id];
  if (s.Done)
    return {true, true};
  if (s.Renounced)
    return {true, false};
  if (!s.GivenToSocket)
    return {};
  // An engine that was started anew has lost the connection that the order
  // was given to.
  const EngineInfo *e = Table.find(order.Engine);
  bool restarted = e && e->Report && !s.EngineIncarnation.empty() &&
                   e->Report->Incarnation != s.EngineIncarnation;
  return {restarted, false};
}

/// Asks a lost holder to renounce its order.
Awaitable<OrderRunner::Settlement> OrderRunner::askIssuer(Order order) {
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
    log::debug(log::Category::Plan, "renounce of {}: {}", order.Id, e.what());
    co_return Settlement();
  }
  bool done = reply.answer() == messages::ENDED;
  if (reply.answer() == messages::RENOUNCED || done)
    co_return Settlement{true, done};
  if (!reply.replaced())
    co_return Settlement();
  // Another process has the address: the issuer has ended. Its last bytes
  // may be under way for a bounded time.
  auto [it, isNew] = ReplacedSince.try_emplace(order.Id, MonoClock::now());
  bool passed = MonoClock::now() - it->second >=
                Node.Options.milliseconds(GoneQuarantine);
  co_return Settlement{passed, false};
}

OrderRunner::Renounce OrderRunner::renounce(const std::string &order) {
  Sending &s = Orders[order];
  if (s.Done)
    return Renounce::Ended;
  if (s.GivenToSocket)
    return Renounce::Unknown;
  s.Renounced = true;
  return Renounce::Renounced;
}

void OrderRunner::settleLeftOvers() {
  for (const Order &it : Lease.plan().Unfinished) {
    if (!Busy.insert(it.Engine).second)
      continue;
    bool freeze = !checksFencing() && Node.Options.get(Freezing);
    spawn(Node.Io, "settle-" + it.Engine,
          [this, order = it, freeze]() -> Awaitable<void> {
            try {
              if (freeze)
                co_await thaw(order);
              else
                co_await adopt(order);
            } catch (const Error &e) {
              log::warn(log::Category::Plan, "order {}: {}", order.Id,
                        e.what());
            }
            Busy.erase(order.Engine);
          });
  }
}

/// Takes over an order to an engine that checks fencing numbers: the same
/// order under the new epoch. The old copy is refused from then on.
Awaitable<void> OrderRunner::adopt(Order order) {
  Order mine = order;
  mine.Epoch = Lease.plan().Epoch;
  mine.Issuer = Lease.self();
  PlanLease::Change replace = [mine](PoolPlan p) {
    for (Order &it : p.Unfinished)
      if (it.Id == mine.Id)
        it = mine;
    return p;
  };
  if (!co_await Lease.update(replace))
    co_return;
  if (!checksFencing()) {
    // Freezing is switched off: the order is forgotten.
    co_await end(mine, false);
    co_return;
  }
  timeline::HybridTime marked = Node.Recorder.clock().now();
  bool isFree = co_await waitUntilReleased(mine.Engine, marked) &&
                co_await waitUntilIdle(mine.Engine);
  if (isFree)
    co_await carryOut(std::move(mine));
}

/// Waits until an order of a lost holder can have no effect any more.
Awaitable<void> OrderRunner::thaw(Order order) {
  record(EventKind::EngineFrozen, order);
  while (Lease.isLastHolder()) {
    Settlement s = co_await settlement(order);
    if (s.Settled) {
      record(EventKind::EngineThawed, order, s.Done ? "done" : "not done");
      co_await end(order, s.Done);
      co_return;
    }
    co_await sleepFor(SettlePoll);
  }
}

} // namespace sardineford::controller
