#include "Duties/OrderPlan.h"

#include <catch2/catch.hpp>

namespace sardineford::duties {

namespace {

/// A service with idle servers in two failure domains.
std::vector<OrderableService> idleService() {
  OrderableService out;
  out.Name = "models";
  out.Bounds = {1, 60, Milliseconds(4'000), {}};
  out.SlotsPerServer = 12;
  out.Present = {{"a", 30}, {"b", 30}};
  return {out};
}

/// Lets the plan observe a small demand for longer than a swing.
void observe(OrderPlan &plan) {
  constexpr int Intervals = 12;
  MonoTime now = MonoClock::now() - std::chrono::seconds(Intervals);
  WorkDone done;
  for (int i = 0; i < Intervals; ++i) {
    now += std::chrono::seconds(1);
    done.Prefills += Seconds(1);
    done.InFlight += Seconds(10);
    plan.merge("p", {{"models", done}}, now);
    plan.endInterval(now);
  }
}

BootTime at(Milliseconds ms) { return BootTime(std::chrono::hours(1)) + ms; }

} // namespace

// Guards against an order that is lost: it is repeated until it is accepted.
TEST_CASE("an order that was not accepted is sent again") {
  OrderPlan plan;
  std::vector<PlacedOrder> recorded = {{"models", "a", 20}};
  std::optional<PlacedOrder> next = plan.nextToSend(recorded, at({}));
  REQUIRE(next);
  CHECK(*next == recorded[0]);
  plan.recordResult(*next, false, at({}));
  CHECK_FALSE(plan.nextToSend(recorded, at(Milliseconds(100))));
  CHECK(plan.nextToSend(recorded, at(Milliseconds(10'000))));
  plan.recordResult(*next, true, at(Milliseconds(10'000)));
  CHECK_FALSE(plan.nextToSend(recorded, at(Milliseconds(20'000))));
  recorded[0].Servers = 10;
  CHECK(plan.nextToSend(recorded, at(Milliseconds(20'000))));
}

// Guards against numbers that swing with the holder of the lease.
TEST_CASE("a new holder repeats the recorded orders and changes none") {
  OrderPlan plan;
  observe(plan);
  plan.reset();
  std::vector<PlacedOrder> recorded = {{"models", "a", 5}, {"models", "b", 5}};
  CHECK(plan.decide(recorded, idleService(), at({})) == recorded);
  CHECK(plan.nextToSend(recorded, at({})) == recorded[0]);
}

// Guards against a failure domain that is forgotten when its servers are lost.
TEST_CASE("a failure domain without servers keeps its order") {
  OrderPlan plan;
  observe(plan);
  std::vector<OrderableService> services = idleService();
  services[0].Present.erase("b");
  std::vector<PlacedOrder> recorded = {{"models", "a", 30},
                                       {"models", "b", 30}};
  plan.decide(recorded, services, at({}));
  std::vector<PlacedOrder> orders =
      plan.decide(recorded, services, at(Milliseconds(10'000)));
  REQUIRE(orders.size() == 2);
  CHECK(orders[1].FailureDomain == "b");
  CHECK(orders[1].Servers >= 1);
  CHECK(orders[0].Servers < 30);
}

} // namespace sardineford::duties
