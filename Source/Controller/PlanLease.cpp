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

/// Contenders delay a takeover by their position, so that they do not all write
/// at the same time.
constexpr Milliseconds DelayPerPosition{150};
/// Lease durations for which a holder that stepped down does not compete.
constexpr int StepDownLeases = 10;

plan::LeaseTimes leaseTimes(const settings::Settings &s) {
  plan::LeaseTimes t;
  t.Duration = s.milliseconds(LeaseDuration);
  t.RenewalInterval = s.milliseconds(LeaseRenewInterval);
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

Milliseconds PlanLease::tickInterval() const {
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

void PlanLease::markLost() {
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
  markLost();
  NoTakeoverUntil = MonoClock::now() + Times.Duration * StepDownLeases;
}

/// Returns the position of this process among the controllers that may take
/// over the lease, or nothing if it is not one of them.
std::optional<size_t> PlanLease::takeoverPosition() const {
  uint64_t key = hash64(Name);
  uint64_t localScore = routing::rendezvousScore(key, Self.Name);
  size_t higher = 0;
  for (const std::string &it : Node.Exchange.liveControllers())
    higher += routing::rendezvousScore(key, it) > localScore ? 1 : 0;
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
    log::debug(log::Category::Plan, "updating the lease of {} failed: {}", Name,
               e.what());
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

/// Returns whether the plan was written. Loses the lease on a conflict or an
/// ambiguous write.
Awaitable<bool> PlanLease::write(PoolPlan next, uint64_t version,
                                 MonoTime deadline) {
  next.WriteId = makeId();
  store::Object object{Kind, Name, version, plan::encodePlan(next)};
  std::string id = next.WriteId;
  store::IsOwnWrite isOwn = [id](const std::string &v) {
    return plan::decodePlan(v).WriteId == id;
  };
  MonoTime writeStart = MonoClock::now();
  bool lost = false;
  try {
    Version = co_await store::putWithReadBack(Node.Store, std::move(object),
                                              isOwn, deadline);
    Plan = std::move(next);
    Held.extend(writeStart);
    co_return true;
  } catch (const StoreError &e) {
    // After an ambiguous write the plan in the store is unknown.
    lost =
        e.Reason == Failure::VersionConflict || e.Reason == Failure::Ambiguous;
    log::debug(log::Category::Plan, "writing the plan of {} failed: {}", Name,
               e.what());
  }
  if (lost)
    markLost();
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
  std::optional<size_t> position = takeoverPosition();
  if (!position || MonoClock::now() < NoTakeoverUntil)
    co_return;
  std::optional<store::Object> stored = co_await Node.Store.get(Kind, Name);
  MonoTime now = MonoClock::now();
  Milliseconds takeoverDelay =
      DelayPerPosition * static_cast<int64_t>(*position);
  if (!stored) {
    if (!MissingSince)
      MissingSince = now;
    if (now - *MissingSince >= takeoverDelay)
      co_await acquire(Plan, 0);
    co_return;
  }
  Observed.recordVersion(stored->Version, now);
  PoolPlan current = plan::decodePlan(stored->Value);
  if (Observed.hasExpired(now - takeoverDelay))
    co_await acquire(std::move(current), stored->Version);
}

Awaitable<void> PlanLease::acquire(PoolPlan next, uint64_t version) {
  next = plan::takeOver(std::move(next), Self);
  bool written = co_await write(std::move(next), version,
                                MonoClock::now() + Times.Duration);
  if (!written)
    co_return;
  IsHolder = true;
  Node.Recorder.record(
      {.Kind = EventKind::LeaseTaken, .Pool = Name, .Epoch = Plan.Epoch});
  log::info(log::Category::Plan, "acquired the lease of {} in epoch {}", Name,
            Plan.Epoch);
}

} // namespace sardineford::controller
