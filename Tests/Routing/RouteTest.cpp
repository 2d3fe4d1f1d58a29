#include "Sardineford/Routing/Route.h"

#include "Sardineford/Admission/Admission.h"
#include "Sardineford/Retry/Retry.h"

#include <catch2/catch.hpp>

#include <map>

using namespace sardineford;
using namespace sardineford::routing;

namespace {

PoolView makePool(int prefill, int decode) {
  PoolView v;
  for (int i = 0; i < prefill + decode; ++i) {
    EngineView e;
    e.Name = "e" + std::to_string(i);
    e.Role = i < prefill ? EngineRole::Prefill : EngineRole::Decode;
    v.Engines.push_back(e);
  }
  return v;
}

RequestShape makeShape(uint64_t prompt, double output) {
  RequestShape s;
  s.PromptTokens = prompt;
  s.ExpectedOutputTokens = output;
  s.Affinity = 42;
  return s;
}

} // namespace

TEST_CASE("engines that accept no work are never chosen") {
  std::mt19937_64 random(1);
  PoolView v = makePool(1, 3);
  v.Engines[1].State = EngineState::Draining;
  v.Engines[2].State = EngineState::Leaving;
  v.Engines[3].Ejected = true;
  for (int n = 0; n < 50; ++n) {
    std::optional<Route> r = chooseRoute(v, makeShape(500, 50), random);
    REQUIRE(r);
    REQUIRE(r->Decode == 0);
    REQUIRE(r->Prefill == 0);
  }
  v.Engines[0].State = EngineState::Lost;
  REQUIRE_FALSE(chooseRoute(v, makeShape(500, 50), random));
}

TEST_CASE("an engine with a cached prefix is preferred") {
  std::mt19937_64 random(1);
  PoolView v = makePool(4, 4);
  RequestShape s = makeShape(8'000, 10);
  s.PrefixHashes = {11, 12, 13, 14};
  v.Engines[2].Prefixes = {11, 12, 13};
  std::optional<Route> r = chooseRoute(v, s, random);
  REQUIRE(r->Prefill == 2);
  REQUIRE(r->CachedTokens == 6'000);
}

TEST_CASE("processes with the same stale report do not all choose one engine") {
  PoolView v = makePool(4, 8);
  std::map<size_t, int> chosen;
  for (uint64_t process = 0; process < 60; ++process) {
    std::mt19937_64 random(process);
    RequestShape s = makeShape(500, 100);
    s.Affinity = process;
    ++chosen[chooseRoute(v, s, random)->Decode];
  }
  for (const auto &[engine, n] : chosen)
    REQUIRE(n < 30);
}

TEST_CASE(
    "a request that cannot meet its deadline is rejected with a retry delay") {
  std::mt19937_64 random(1);
  Route slow;
  slow.TimeToCompletion = Seconds(10);
  admission::Decision d = admission::decide(slow, Seconds(5), {}, random);
  REQUIRE(d.Reason == admission::RejectionReason::DeadlineTooShort);
  REQUIRE(d.RetryAfter >= Milliseconds(5'000));
  REQUIRE(admission::decide(slow, Seconds(20), {}, random).accepted());
  REQUIRE(admission::decide(std::nullopt, Seconds(20), {}, random).Reason ==
          admission::RejectionReason::NoEngine);
}

TEST_CASE("a workspace is limited to its share while the pool is overloaded") {
  std::mt19937_64 random(1);
  Route r;
  r.TimeToCompletion = Seconds(7);
  admission::WorkspaceShare share{2'000, 500};
  int accepted = 0;
  for (int n = 0; n < 1'000; ++n)
    accepted +=
        admission::decide(r, Seconds(10), share, random).accepted() ? 1 : 0;
  // The allowed rate is a quarter of the requested rate.
  REQUIRE(accepted > 180);
  REQUIRE(accepted < 320);
}

TEST_CASE("retries are limited to a ratio of the requests") {
  retry::Budget b;
  int retries = 0;
  for (int n = 0; n < 1'000; ++n) {
    b.deposit();
    retries += b.withdraw() ? 1 : 0;
  }
  REQUIRE(retries <= 211);
}

TEST_CASE(
    "failing engines are ejected unless that is more than half of the pool") {
  retry::Ejector e;
  MonoTime now{std::chrono::seconds(10)};
  for (const char *name : {"a", "b", "c"})
    for (int n = 0; n < 3; ++n)
      e.failed(name, now);
  REQUIRE(e.isEjected("a", now, 6));
  REQUIRE_FALSE(e.isEjected("a", now, 4));
  REQUIRE_FALSE(e.isEjected("a", now + Milliseconds(501), 6));
  e.succeeded("a");
  REQUIRE_FALSE(e.isEjected("a", now, 6));
}
