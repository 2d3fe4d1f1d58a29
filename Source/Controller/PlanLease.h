#pragma once

#include "Node/Node.h"
#include "Sardineford/Plan/PoolPlan.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>

namespace sardineford::controller {

/// Competes for the lease in one plan object and changes the plan while this
/// process holds it. Every write is a conditional update of the whole object.
class PlanLease {
public:
  PlanLease(node::Node &node, std::string kind, std::string name);

  /// Renews the lease, or looks whether it can be taken.
  Awaitable<void> tick();

  /// Time until the next tick: even for a holder, spread for the others.
  Milliseconds pauseBetweenTicks() const;

  /// This process may act: its lease holds by its own clock.
  bool mayAct() const;
  /// This process is the last holder it knows of; during an outage of the
  /// store the lease may have lapsed, and then nobody may act.
  bool isLastHolder() const { return IsHolder; }

  const plan::PoolPlan &plan() const { return Plan; }
  const plan::ProcessIdentity &self() const { return Self; }

  /// Gives the lease up and leaves it to others for a while.
  void stepDown();

  using Change = std::function<plan::PoolPlan(plan::PoolPlan)>;

  /// Writes a changed plan. Returns false when it was not written: the lease
  /// is lost, or the store does not take writes. Errors of the change itself
  /// are passed on.
  Awaitable<bool> update(Change change);

private:
  Awaitable<void> observe();
  Awaitable<void> renew();
  Awaitable<void> take(plan::PoolPlan next, uint64_t version);
  Awaitable<bool> write(plan::PoolPlan next, uint64_t version,
                        MonoTime deadline);
  Awaitable<void> lock();
  void unlock();
  void lose();
  std::optional<size_t> rank() const;

  node::Node &Node;
  std::string Kind;
  std::string Name;
  plan::ProcessIdentity Self;
  plan::LeaseTimes Times;
  plan::HeldLease Held;
  plan::ObservedLease Observed;
  plan::PoolPlan Plan;
  uint64_t Version = 0;
  bool IsHolder = false;
  bool Locked = false;
  boost::asio::steady_timer Unlocked;
  std::optional<MonoTime> AbsentSince;
  /// Does not compete until then.
  MonoTime StandBackUntil{};
};

} // namespace sardineford::controller
