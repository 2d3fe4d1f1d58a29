#include "Sardineford/Plan/PoolPlan.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::plan;
using routing::EngineRole;

namespace {

const ProcessIdentity FirstHolder{"controller-0", "1-a", "127.0.0.1:1"};
const ProcessIdentity SecondHolder{"controller-1", "2-b", "127.0.0.1:2"};

PoolPlan planOfFirstHolder() {
  PoolPlan p;
  p.Pool = "pool";
  p.Engines["e0"].Role = EngineRole::Prefill;
  p.Engines["e1"].Role = EngineRole::Decode;
  return takeOver(std::move(p), FirstHolder);
}

Order makeOrder(const std::string &id, const std::string &engine) {
  return {id, engine, EngineRole::Prefill, 1, FirstHolder};
}

} // namespace

TEST_CASE("a takeover increments the epoch and keeps unfinished orders") {
  PoolPlan p = recordOrder(planOfFirstHolder(), makeOrder("o", "e1"));
  PoolPlan next = takeOver(p, SecondHolder);
  REQUIRE(next.Epoch == p.Epoch + 1);
  REQUIRE(next.Holder == SecondHolder);
  REQUIRE(unfinishedOrder(next, "e1")->Id == "o");
}

TEST_CASE("an engine never has two unfinished orders") {
  PoolPlan p = recordOrder(planOfFirstHolder(), makeOrder("o", "e1"));
  REQUIRE_THROWS_AS(recordOrder(p, makeOrder("p", "e1")), Error);
  REQUIRE_NOTHROW(recordOrder(p, makeOrder("p", "e0")));
}

TEST_CASE("ending an order changes the role only if the order was done") {
  PoolPlan p = recordOrder(planOfFirstHolder(), makeOrder("o", "e1"));
  p.Engines["e1"].Draining = true;
  PoolPlan notDone = endOrder(p, "o", false);
  REQUIRE(notDone.Engines["e1"].Role == EngineRole::Decode);
  REQUIRE_FALSE(notDone.Engines["e1"].Draining);
  REQUIRE(endOrder(p, "o", true).Engines["e1"].Role == EngineRole::Prefill);
}

TEST_CASE("an earlier holder's order freezes an engine that does not check "
          "fencing") {
  PoolPlan p = recordOrder(planOfFirstHolder(), makeOrder("o", "e1"));
  REQUIRE_FALSE(isFrozen(p, "e1", false));
  PoolPlan next = takeOver(p, SecondHolder);
  REQUIRE(isFrozen(next, "e1", false));
  REQUIRE_FALSE(isFrozen(next, "e1", true));
  REQUIRE_FALSE(isFrozen(next, "e0", false));
}

TEST_CASE("decoding an encoded plan restores the plan") {
  PoolPlan p = recordOrder(planOfFirstHolder(), makeOrder("o", "e1"));
  p.WriteId = "w";
  PoolPlan read = decodePlan(encodePlan(p));
  REQUIRE(encodePlan(read) == encodePlan(p));
}

TEST_CASE("a lease ends for its holder before it expires for observers") {
  LeaseTimes times;
  MonoTime writeStart{std::chrono::seconds(100)};
  HeldLease held(times);
  held.extend(writeStart);
  ObservedLease observed(times);
  // The write takes effect after its start, and observers read it even later.
  observed.recordVersion(7, writeStart + Milliseconds(1));
  MonoTime end = held.validUntil();
  REQUIRE_FALSE(held.isValid(end));
  REQUIRE_FALSE(observed.hasExpired(end));
  REQUIRE(observed.hasExpired(end + times.Margin + Milliseconds(1)));
}

TEST_CASE("a renewal restarts the lease duration for observers") {
  LeaseTimes times;
  MonoTime now{std::chrono::seconds(100)};
  ObservedLease observed(times);
  observed.recordVersion(1, now);
  now += times.Duration;
  observed.recordVersion(2, now);
  REQUIRE_FALSE(observed.hasExpired(now + times.Margin));
}
