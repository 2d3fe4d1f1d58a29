#include "Controller/PlanLease.h"

#include "Controller/ControllerSettings.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Common/Random.h"
#include "Sardineford/Routing/Route.h"
#include "Sardineford/Store/Write.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace sardineford::controller {

using plan::PoolPlan;
using store::Failure;
using store::StoreError;
using timeline::EventKind;

namespace {

/// Contenders wait for their turn, so that they do not all write at once.
constexpr Milliseconds DelayPerRank{150};
/// A holder that stepped down does not compete for so many lease times.
constexpr int StandBackLeases = 10;

plan::LeaseTimes leaseTimes(const settings::Settings &s) {
  plan::LeaseTimes t;
  t.Duration = s.milliseconds(LeaseDuration);
  t.RenewalInterval = s.milliseconds(RenewInterval);
  t.Margin = s.milliseconds(LeaseMargin);
  return t;
}

} // namespace

PlanLease::PlanLease(node::Node &node, std::string kind, std::string name)
    : Node(node), Kind(std::move(kind)),
      Name(std::move(name)), Self{node.Name, node.Incarnation,
                                  http::toString(
                                      node.Exchange.options().Address)},
      Times(leaseTimes(node.Options)), Held(Times), Observed(Times),
      Unlocked(node.Io, MonoTime::max()) {
  Plan.Pool = Name;
}

Milliseconds PlanLease::pauseBetweenTicks() const {
  if (IsHolder)
    return Times.RenewalInterval;
  return jittered(Node.Options.milliseconds(ObserveInterval));
}

bool PlanLease::mayAct() const {
  return IsHolder && Held.isValid(MonoClock::now());
}

Awaitable<void> PlanLease::lock() {
  while (Locked)
    co_await Unlocked.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  Locked = true;
}

void PlanLease::unlock() {
  Locked = false;
  Unlocked.cancel();
}

void PlanLease::lose() {
  if (!IsHolder)
    return;
  IsHolder = false;
  Held.invalidate();
  Node.Recorder.record(
      {.Kind = EventKind::LeaseLost, .Pool = Name, .Epoch = Plan.Epoch});
  log::info(log::Category::Plan, "lost the lease of {} in epoch {}", Name,
            Plan.Epoch);
}

void PlanLease::stepDown() {
  lose();
  StandBackUntil = MonoClock::now() + Times.Duration * StandBackLeases;
}

/// Place of this process among those that may take over this lease.
std::optional<size_t> PlanLease::rank() const {
  uint64_t key = hash64(Name);
  uint64_t own = routing::rendezvousScore(key, Self.Name);
  size_t higher = 0;
  for (const std::string &it : Node.Exchange.liveControllers())
    higher += routing::rendezvousScore(key, it) > own ? 1 : 0;
  if (higher >= static_cast<size_t>(Node.Options.get(Contenders)))
    return std::nullopt;
  return higher;
}

Awaitable<void> PlanLease::tick() {
  co_await lock();
  try {
    if (IsHolder)
      co_await renew();
    else
      co_await observe();
  } catch (const Error &e) {
    log::debug(log::Category::Plan, "lease of {}: {}", Name, e.what());
  }
  unlock();
}

Awaitable<void> PlanLease::renew() {
  PoolPlan next = Plan;
  ++next.Renewals;
  co_await write(
      std::move(next), Version,
      std::max(Held.validUntil(), MonoClock::now() + Times.RenewalInterval));
}

/// Returns whether the plan was written. Loses the lease on a conflict.
Awaitable<bool> PlanLease::write(PoolPlan next, uint64_t version,
                                 MonoTime deadline) {
  next.WriteId = makeId();
  store::Object object{Kind, Name, version, plan::encodePlan(next)};
  std::string id = next.WriteId;
  store::IsOwnWrite isOwn = [id](const std::string &v) {
    return plan::decodePlan(v).WriteId == id;
  };
  MonoTime begun = MonoClock::now();
  bool lost = false;
  try {
    Version = co_await store::putWithReadBack(Node.Store, std::move(object),
                                              isOwn, deadline);
    Plan = std::move(next);
    Held.extend(begun);
    co_return true;
  } catch (const StoreError &e) {
    // After an undecided write the plan in the store is not known any more.
    lost =
        e.Reason == Failure::VersionConflict || e.Reason == Failure::Ambiguous;
    log::debug(log::Category::Plan, "plan of {}: {}", Name, e.what());
  }
  if (lost)
    lose();
  co_return false;
}

Awaitable<bool> PlanLease::update(Change change) {
  co_await lock();
  bool written = false;
  std::exception_ptr failure;
  try {
    if (mayAct())
      written = co_await write(change(Plan), Version, Held.validUntil());
  } catch (...) {
    failure = std::current_exception();
  }
  unlock();
  if (failure)
    std::rethrow_exception(failure);
  co_return written;
}

Awaitable<void> PlanLease::observe() {
  std::optional<size_t> place = rank();
  if (!place || MonoClock::now() < StandBackUntil)
    co_return;
  std::optional<store::Object> found = co_await Node.Store.get(Kind, Name);
  MonoTime now = MonoClock::now();
  Milliseconds turn = DelayPerRank * static_cast<int64_t>(*place);
  if (!found) {
    if (!AbsentSince)
      AbsentSince = now;
    if (now - *AbsentSince >= turn)
      co_await take(Plan, 0);
    co_return;
  }
  Observed.recordVersion(found->Version, now);
  PoolPlan current = plan::decodePlan(found->Value);
  if (Observed.hasExpired(now - turn))
    co_await take(std::move(current), found->Version);
}

Awaitable<void> PlanLease::take(PoolPlan next, uint64_t version) {
  next = plan::takeOver(std::move(next), Self);
  bool written = co_await write(std::move(next), version,
                                MonoClock::now() + Times.Duration);
  if (!written)
    co_return;
  IsHolder = true;
  Node.Recorder.record(
      {.Kind = EventKind::LeaseTaken, .Pool = Name, .Epoch = Plan.Epoch});
  log::info(log::Category::Plan, "took the lease of {} in epoch {}", Name,
            Plan.Epoch);
}

} // namespace sardineford::controller
