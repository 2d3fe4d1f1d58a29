#pragma once

#include "Controller/EngineTable.h"
#include "Controller/PlanLease.h"

#include <map>
#include <set>
#include <string>

namespace sardineford::controller {

/// Carries out role changes of one pool: drain, record, send, settle. Orders
/// are recorded in the plan before they are sent.
class OrderRunner {
public:
  /// Tells whether every entry process has taken over a view made after a
  /// time and has no attempt at the engine.
  using IsReleased =
      std::function<bool(const std::string &engine, timeline::HybridTime)>;

  OrderRunner(node::Node &node, engine::EngineClient &engines, PlanLease &lease,
              EngineTable &table, std::string pool, IsReleased isReleased);

  /// Starts a role change unless one is under way at the engine.
  void startChange(const std::string &engine, routing::EngineRole to);
  bool isBusy(const std::string &engine) const { return Busy.contains(engine); }
  size_t running() const { return Busy.size(); }

  /// After a take-over: settles orders that the last holder left behind.
  void settleLeftOvers();

  /// Answers a successor: whether an order of this process can still arrive.
  enum class Renounce { Unknown, Renounced, Ended };
  Renounce renounce(const std::string &order);

private:
  /// How far this process came with an order of its own.
  struct Sending {
    /// A copy was given to a socket and the engine's reply is not in hand.
    bool GivenToSocket = false;
    /// Will never be sent again.
    bool Renounced = false;
    /// The engine has carried it out.
    bool Done = false;
    /// The engine's process to which it was given.
    std::string EngineIncarnation;
  };

  /// What became of one try to send an order.
  enum class Sent { Done, NotSent, Refused, Unclear };

  Awaitable<void> change(std::string engine, routing::EngineRole to);
  Awaitable<bool> drain(std::string engine);
  Awaitable<bool> waitUntilReleased(std::string engine,
                                    timeline::HybridTime marked);
  Awaitable<bool> waitUntilIdle(std::string engine);
  Awaitable<void> undrain(std::string engine);
  Awaitable<void> carryOut(plan::Order order);
  Awaitable<Sent> send(plan::Order order);
  Awaitable<void> end(plan::Order order, bool done);
  Awaitable<void> adopt(plan::Order order);
  Awaitable<void> thaw(plan::Order order);
  /// What is known of an order's last effect.
  struct Settlement {
    bool Settled = false;
    bool Done = false;
  };

  Awaitable<Settlement> settlement(plan::Order order);
  Awaitable<Settlement> askIssuer(plan::Order order);
  Settlement ownSettlement(const plan::Order &order);
  bool checksFencing() const;
  bool reportShowsEnded(const plan::Order &order) const;
  void record(timeline::EventKind kind, const plan::Order &o,
              std::string detail = "");

  node::Node &Node;
  engine::EngineClient &Engines;
  PlanLease &Lease;
  EngineTable &Table;
  std::string Pool;
  IsReleased Released;
  std::set<std::string> Busy;
  std::map<std::string, Sending> Orders;
  /// When another incarnation was first seen at a lost holder's address.
  std::map<std::string, MonoTime> ReplacedSince;
};

} // namespace sardineford::controller
