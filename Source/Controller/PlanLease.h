#pragma once

#include "Node/Node.h"
#include "Sardineford/Plan/PoolPlan.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>

namespace sardineford::controller {

/// Competes for the lease that is stored in one plan object, and changes the
/// plan while this process holds the lease. Every write is a conditional update
/// of the whole object.
class PlanLease {
public:
  PlanLease(node::Node &node, std::string kind, std::string name);

  /// Renews the lease, or acquires the lease if it has expired.
  Awaitable<void> tick();

  /// Returns the time until the next tick: fixed for the holder, with jitter
  /// for the other processes.
  Milliseconds tickInterval() const;

  /// Returns whether this process holds the lease and the lease is valid by the
  /// local clock.
  bool mayAct() const;
  /// Returns whether this process is the last known holder. During an outage of
  /// the store the lease may have expired, and then no process may act.
  bool isLastHolder() const { return IsHolder; }

  const plan::PoolPlan &plan() const { return Plan; }
  const plan::ProcessIdentity &self() const { return Self; }

  /// Stops acting as holder, and does not compete for the lease for 10
  /// lease durations.
  void stepDown();

  using Change = std::function<plan::PoolPlan(plan::PoolPlan)>;

  /// Writes a changed plan. Returns false if the plan was not written because
  /// the lease is lost or the store does not accept writes. Rethrows the
  /// exceptions of the change itself.
  Awaitable<bool> update(Change change);

private:
  Awaitable<void> observe();
  Awaitable<void> renew();
  Awaitable<void> acquire(plan::PoolPlan next, uint64_t version);
  Awaitable<bool> write(plan::PoolPlan next, uint64_t version,
                        MonoTime deadline);
  Awaitable<void> lock();
  void unlock();
  void markLost();
  std::optional<size_t> takeoverPosition() const;

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
  std::optional<MonoTime> MissingSince;
  MonoTime NoTakeoverUntil{};
};

} // namespace sardineford::controller
