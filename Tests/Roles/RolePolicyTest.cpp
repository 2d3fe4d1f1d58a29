#include "Sardineford/Roles/RolePolicy.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sardineford;
using namespace sardineford::roles;
using routing::EngineRole;
using routing::EngineState;

namespace {

RoleView makeView(int prefill, int decode) {
  RoleView v;
  v.Spec.Engines = prefill + decode;
  v.Now = MonoTime{std::chrono::seconds(1'000)};
  for (int i = 0; i < prefill + decode; ++i) {
    routing::EngineView e;
    e.Name = "e" + std::to_string(i);
    e.Role = i < prefill ? EngineRole::Prefill : EngineRole::Decode;
    v.Pool.Engines.push_back(e);
  }
  return v;
}

void setDemand(RoleView &v, double requests, double prompt, double output) {
  v.DemandAverages.Fast = v.DemandAverages.Slow = {requests, prompt, output};
  v.DemandAverages.HasSamples = true;
}

} // namespace

TEST_CASE("no role changes while all demand is served") {
  RoleView v = makeView(3, 6);
  setDemand(v, 5, 10'000, 1'000);
  REQUIRE_FALSE(decideRoles(v));
}

TEST_CASE("a decode engine moves to prefill when prefill capacity is short") {
  RoleView v = makeView(1, 8);
  setDemand(v, 40, 60'000, 1'000);
  std::optional<RoleChange> change = decideRoles(v);
  REQUIRE(change);
  REQUIRE(change->To == EngineRole::Prefill);
  REQUIRE(change->Gain > change->Cost);
}

TEST_CASE("a high change weight prevents role changes") {
  RoleView v = makeView(1, 8);
  setDemand(v, 40, 60'000, 1'000);
  v.Spec.ChangeWeight = 1'000;
  REQUIRE_FALSE(decideRoles(v));
}

TEST_CASE("no role changes during or shortly after another change") {
  RoleView v = makeView(1, 8);
  setDemand(v, 40, 60'000, 1'000);
  SECTION("engine is changing") {
    v.Pool.Engines[4].State = EngineState::Changing;
  }
  SECTION("shortly after a change") {
    v.LastChange = v.Now - Milliseconds(100);
  }
  SECTION("fixed roles") { v.Spec.Policy = config::RolePolicy::Fixed; }
  SECTION("no samples") { v.DemandAverages.HasSamples = false; }
  REQUIRE_FALSE(decideRoles(v));
}

TEST_CASE("the threshold policy decides by utilization only") {
  RoleView v = makeView(1, 8);
  v.Spec.Policy = config::RolePolicy::Threshold;
  setDemand(v, 1, 9'000, 100);
  REQUIRE(decideRoles(v)->To == EngineRole::Prefill);
}

TEST_CASE("the last engine of a role and frozen engines keep their role") {
  bool holds = rc::check([] {
    RoleView v = makeView(*rc::gen::inRange(0, 5), *rc::gen::inRange(0, 5));
    auto amount = [] {
      return static_cast<double>(*rc::gen::inRange(0, 200'000));
    };
    setDemand(v, amount() / 100, amount(), amount() / 10);
    v.DemandAverages.Slow = {amount() / 100, amount(), amount() / 10};
    v.Spec.ChangeWeight = *rc::gen::inRange(0, 20);
    v.Spec.Policy = *rc::gen::element(config::RolePolicy::Goodput,
                                      config::RolePolicy::Threshold);
    for (routing::EngineView &it : v.Pool.Engines)
      it.Frozen = *rc::gen::inRange(0, 4) == 0;
    std::optional<RoleChange> change = decideRoles(v);
    if (!change)
      return;
    int enginesInSourceRole = 0;
    for (const routing::EngineView &it : v.Pool.Engines) {
      enginesInSourceRole += it.Role != change->To ? 1 : 0;
      if (it.Name == change->Engine)
        RC_ASSERT(!it.Frozen && it.Role != change->To);
    }
    RC_ASSERT(enginesInSourceRole > 1);
  });
  REQUIRE(holds);
}

TEST_CASE("the served ratio decreases with demand and stays between 0 and 1") {
  bool holds = rc::check([] {
    routing::EngineSpeeds s;
    RoleCounts engines{static_cast<double>(*rc::gen::inRange(0, 10)),
                       static_cast<double>(*rc::gen::inRange(0, 10))};
    Demand d{1, static_cast<double>(*rc::gen::inRange(1, 300'000)),
             static_cast<double>(*rc::gen::inRange(1, 30'000))};
    Demand more{1, d.PromptTokens * 1.5, d.OutputTokens * 1.5};
    double ratio = servedRatio(engines, d, s);
    RC_ASSERT(ratio >= 0 && ratio <= 1);
    RC_ASSERT(servedRatio(engines, more, s) <= ratio + 1e-6);
  });
  REQUIRE(holds);
}
