#pragma once

#include "Controller/EngineTable.h"
#include "Controller/PlanLease.h"

#include <map>
#include <set>
#include <string>

namespace sardineford::controller {

/// Executes role changes of one pool: drains the engine, records an order in
/// the plan, sends the order, and polls until its result is known. Orders are
/// recorded in the plan before they are sent.
class OrderRunner {
public:
  /// Returns whether every entry process uses a pool view from after the given
  /// time and has no attempt in flight at the engine.
  using IsReleased =
      std::function<bool(const std::string &engine, timeline::HybridTime)>;

  OrderRunner(node::Node &node, engine::EngineClient &engines, PlanLease &lease,
              EngineTable &table, std::string pool, IsReleased isReleased);

  /// Starts a role change unless one is in progress at the engine.
  void startRoleChange(const std::string &engine, routing::EngineRole to);
  bool isBusy(const std::string &engine) const { return Busy.contains(engine); }
  size_t running() const { return Busy.size(); }

  /// Resolves the unfinished orders of the previous holder after a takeover of
  /// the lease.
  void resolveInheritedOrders();

  /// Unknown: the order may still arrive at the engine. Renounced: this process
  /// will never send the order. Ended: the engine has executed the order.
  enum class RenounceResult { Unknown, Renounced, Ended };
  /// Handles the request of the next holder to renounce an order of this
  /// process.
  RenounceResult renounce(const std::string &order);

private:
  /// State of an order that this process issued.
  struct IssuedOrder {
    /// A copy was passed to a socket and no reply has been received.
    bool MaybeInFlight = false;
    /// This process will never send the order again.
    bool Renounced = false;
    /// The engine has executed the order.
    bool Done = false;
    /// Incarnation of the engine that the order was sent to.
    std::string EngineIncarnation;
  };

  /// Result of one attempt to send an order. Unknown: the order may have
  /// arrived.
  enum class SendResult { Done, NotSent, Rejected, Unknown };

  Awaitable<void> change(std::string engine, routing::EngineRole to);
  Awaitable<bool> drain(std::string engine);
  Awaitable<bool> waitUntilReleased(std::string engine,
                                    timeline::HybridTime marked);
  Awaitable<bool> waitUntilIdle(std::string engine);
  Awaitable<void> undrain(std::string engine);
  Awaitable<void> execute(plan::Order order);
  Awaitable<SendResult> send(plan::Order order);
  Awaitable<void> end(plan::Order order, bool done);
  Awaitable<void> reissue(plan::Order order);
  Awaitable<void> resolveFrozen(plan::Order order);
  /// Whether an order can have no further effect, and whether the engine has
  /// executed the order.
  struct Resolution {
    bool Resolved = false;
    bool Done = false;
  };

  Awaitable<Resolution> findResolution(plan::Order order);
  Awaitable<Resolution> requestRenounce(plan::Order order);
  Resolution localResolution(const plan::Order &order);
  bool checksFencing() const;
  bool reportShowsEnded(const plan::Order &order) const;
  void record(timeline::EventKind kind, const plan::Order &o,
              std::string detail = "");

  node::Node &Node;
  engine::EngineClient &Engines;
  PlanLease &Lease;
  EngineTable &Table;
  std::string Pool;
  IsReleased IsEngineReleased;
  std::set<std::string> Busy;
  std::map<std::string, IssuedOrder> Orders;
  /// Time at which another incarnation was first observed at the address of an
  /// order's issuer, by order id.
  std::map<std::string, MonoTime> ReplacedSince;
};

} // namespace sardineford::controller
