#include "Sardineford/Duties/Scaling.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>

namespace sardineford::duties {

namespace {

constexpr Milliseconds Calm{60'000};

ScalingInput threeDomains(unsigned present, ServiceDemand peak) {
  ScalingInput in;
  in.Bounds = {1, 60, Milliseconds(4'000), {{"a", 0.85}, {"b", 1.2}, {"c", 1}}};
  in.SlotsPerServer = 12;
  in.Domains = {{"a", present, {}}, {"b", present, {}}, {"c", present, {}}};
  in.PeakDemand = peak;
  in.SinceLastChange = Calm;
  return in;
}

void applyOrders(ScalingInput &in, const std::vector<DomainOrder> &orders) {
  for (const DomainOrder &o : orders)
    for (DomainServers &d : in.Domains)
      if (d.FailureDomain == o.FailureDomain) {
        d.Ordered = o.Servers;
        d.Present = o.Servers;
      }
}

unsigned total(const ScalingInput &in) {
  unsigned out = 0;
  for (const DomainServers &it : in.Domains)
    out += it.Ordered.value_or(it.Present);
  return out;
}

} // namespace

TEST_CASE("no server is ordered away while the demand is not known") {
  ScalingInput in = threeDomains(30, {});
  in.PeakDemand.reset();
  CHECK(decideServers(in).empty());
}

TEST_CASE("idle servers are given back in steps after a calm time") {
  ScalingInput in = threeDomains(30, {3, 40});
  unsigned needed = neededServers(*in.PeakDemand, in.SlotsPerServer);
  in.SinceLastChange = Milliseconds(500);
  CHECK(decideServers(in).empty());
  in.SinceLastChange = Calm;
  for (int i = 0; i < 10; ++i) {
    unsigned before = total(in);
    applyOrders(in, decideServers(in));
    CHECK(total(in) >= before * 0.6);
    CHECK(total(in) >= needed);
  }
  CHECK(total(in) <= needed + in.Domains.size());
}

TEST_CASE("a rising demand gets its servers in one order") {
  ScalingInput in = threeDomains(5, {12, 100});
  in.SinceLastChange = Milliseconds(0);
  applyOrders(in, decideServers(in));
  CHECK(total(in) >= neededServers(*in.PeakDemand, in.SlotsPerServer));
}

TEST_CASE(
    "the loss of the cheapest failure domain leaves half of the servers") {
  ScalingInput in = threeDomains(30, {9, 60});
  in.Bounds.Prices = {{"a", 0.01}, {"b", 1}, {"c", 1}};
  for (int i = 0; i < 10; ++i)
    applyOrders(in, decideServers(in));
  unsigned needed = neededServers(*in.PeakDemand, in.SlotsPerServer);
  CHECK(in.Domains[0].Ordered.value_or(30) <= needed / 2 + 1);
}

TEST_CASE("orders stay within the bounds of each failure domain") {
  ScalingInput in = threeDomains(30, {500, 5'000});
  for (const DomainOrder &it : decideServers(in))
    CHECK(it.Servers <= 60);
  in.PeakDemand = ServiceDemand{};
  for (int i = 0; i < 20; ++i)
    applyOrders(in, decideServers(in));
  for (const DomainServers &it : in.Domains)
    CHECK(it.Ordered.value_or(0) >= 1);
}

TEST_CASE("a new holder with the same demand changes no order") {
  ScalingInput in = threeDomains(30, {4, 50});
  for (int i = 0; i < 20; ++i)
    applyOrders(in, decideServers(in));
  // Servers crash: the order still stands, and the platform replaces them.
  for (DomainServers &it : in.Domains)
    it.Present -= 1;
  CHECK(decideServers(in).empty());
}

TEST_CASE("no server is given back between the peaks of a swing") {
  // Long prompts and long answers take turns every 2.8 s; a window is 500 ms.
  DemandHistory history;
  ScalingInput in = threeDomains(30, {});
  MonoTime now{};
  MonoTime lastChange{};
  unsigned least = total(in);
  ServiceDemand prompts{8, 30};
  ServiceDemand answers{2, 140};
  for (int i = 0; i < 240; ++i) {
    now += Milliseconds(500);
    history.record((i / 6) % 2 == 0 ? prompts : answers, now);
    in.PeakDemand = history.peak(now);
    in.SinceLastChange = toMilliseconds(now - lastChange);
    std::vector<DomainOrder> orders = decideServers(in);
    if (!orders.empty())
      lastChange = now;
    applyOrders(in, orders);
    if (i > 20)
      least = std::min(least, total(in));
  }
  CHECK(least >= neededServers(prompts, 12));
  CHECK(least >= neededServers(answers, 12));
  CHECK(least < 90);
}

TEST_CASE("servers that wait for the first requests are not ordered away") {
  DemandHistory history;
  MonoTime now{};
  for (int i = 0; i < 20; ++i)
    history.record({}, now += Milliseconds(1'000));
  CHECK_FALSE(history.peak(now));
  // The first seconds show a part of a swing only.
  for (int i = 0; i < 5; ++i)
    history.record({1, 10}, now += Milliseconds(1'000));
  CHECK_FALSE(history.peak(now));
}

TEST_CASE(
    "a demand that is heard of again after a gap is not taken for a fall") {
  DemandHistory history;
  MonoTime now{};
  for (int i = 0; i < 10; ++i)
    history.record({6, 60}, now += Milliseconds(500));
  CHECK(history.peak(now));
  now += Milliseconds(30'000);
  CHECK_FALSE(history.peak(now));
  history.record({0, 0}, now);
  CHECK_FALSE(history.peak(now));
}

TEST_CASE("lost, late and repeated reports of work do not change the demand") {
  DemandTotals totals;
  MonoTime now{};
  WorkDone done;
  for (int i = 0; i < 20; ++i) {
    now += Milliseconds(1'000);
    WorkDone before = done;
    done.Prefills += Seconds(0.5);
    done.InFlight += Seconds(4);
    // Each third report is lost; the next one makes up for it.
    if (i % 3 != 1)
      totals.merge("a", done, now);
    totals.merge("a", before, now);
    totals.endInterval(now);
  }
  REQUIRE(totals.peak(now));
  CHECK(totals.peak(now)->PrefillLoad <= 1.01);
  CHECK(totals.peak(now)->PrefillLoad >= 0.49);
  CHECK(totals.peak(now)->RequestsInFlight <= 8.1);
}

TEST_CASE("the work before a process was heard of is not a demand") {
  DemandTotals totals;
  MonoTime now{};
  totals.endInterval(now);
  for (int i = 0; i < 5; ++i) {
    now += Milliseconds(1'000);
    totals.merge("old process " + std::to_string(i),
                 {Seconds(1e6), Seconds(1e6)}, now);
    totals.endInterval(now);
  }
  CHECK_FALSE(totals.peak(now));
}

} // namespace sardineford::duties
