#include "Sardineford/Plan/PoolPlan.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::plan;
using routing::EngineRole;

namespace {

const ProcessIdentity First{"controller-0", "1-a", "127.0.0.1:1"};
const ProcessIdentity Second{"controller-1", "2-b", "127.0.0.1:2"};

PoolPlan heldPlan() {
  PoolPlan p;
  p.Pool = "pool";
  p.Engines["e0"].Role = EngineRole::Prefill;
  p.Engines["e1"].Role = EngineRole::Decode;
  return takeOver(std::move(p), First);
}

Order makeOrder(const std::string &id, const std::string &engine) {
  return {id, engine, EngineRole::Prefill, 1, First};
}

} // namespace

TEST_CASE("a take-over raises the epoch and keeps unfinished orders") {
  PoolPlan p = recordOrder(heldPlan(), makeOrder("o", "e1"));
  PoolPlan next = takeOver(p, Second);
  REQUIRE(next.Epoch == p.Epoch + 1);
  REQUIRE(next.Holder == Second);
  REQUIRE(unfinishedOrder(next, "e1")->Id == "o");
}

TEST_CASE("an engine never has two unfinished orders") {
  PoolPlan p = recordOrder(heldPlan(), makeOrder("o", "e1"));
  REQUIRE_THROWS_AS(recordOrder(p, makeOrder("p", "e1")), Error);
  REQUIRE_NOTHROW(recordOrder(p, makeOrder("p", "e0")));
}

TEST_CASE("only an order that was done changes the role") {
  PoolPlan p = recordOrder(heldPlan(), makeOrder("o", "e1"));
  p.Engines["e1"].Draining = true;
  PoolPlan notDone = endOrder(p, "o", false);
  REQUIRE(notDone.Engines["e1"].Role == EngineRole::Decode);
  REQUIRE_FALSE(notDone.Engines["e1"].Draining);
  REQUIRE(endOrder(p, "o", true).Engines["e1"].Role == EngineRole::Prefill);
}

TEST_CASE("an engine that ignores fencing is frozen by a lost holder's order") {
  PoolPlan p = recordOrder(heldPlan(), makeOrder("o", "e1"));
  REQUIRE_FALSE(isFrozen(p, "e1", false));
  PoolPlan next = takeOver(p, Second);
  REQUIRE(isFrozen(next, "e1", false));
  REQUIRE_FALSE(isFrozen(next, "e1", true));
  REQUIRE_FALSE(isFrozen(next, "e0", false));
}

TEST_CASE("a plan is read as it was written") {
  PoolPlan p = recordOrder(heldPlan(), makeOrder("o", "e1"));
  p.WriteId = "w";
  PoolPlan read = decodePlan(encodePlan(p));
  REQUIRE(encodePlan(read) == encodePlan(p));
}

TEST_CASE("a holder's lease ends before others see it lapse") {
  LeaseTimes times;
  MonoTime begun{std::chrono::seconds(100)};
  HeldLease held(times);
  held.extend(begun);
  ObservedLease observed(times);
  // The write takes effect after it was begun; others see it later still.
  observed.recordVersion(7, begun + Milliseconds(1));
  MonoTime end = held.validUntil();
  REQUIRE_FALSE(held.isValid(end));
  REQUIRE_FALSE(observed.hasExpired(end));
  REQUIRE(observed.hasExpired(end + times.Margin + Milliseconds(1)));
}

TEST_CASE("a renewal seen by others starts their wait anew") {
  LeaseTimes times;
  MonoTime now{std::chrono::seconds(100)};
  ObservedLease observed(times);
  observed.recordVersion(1, now);
  now += times.Duration;
  observed.recordVersion(2, now);
  REQUIRE_FALSE(observed.hasExpired(now + times.Margin));
}
