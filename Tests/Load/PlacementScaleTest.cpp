#include "StandIns/Placement/FleetSimulation.h"
#include "StandIns/Placement/Loads.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

/// A fleet of engines with its usual load: long drafts, short questions and
/// classifications, whose mix swings every 2.8 s.
FleetSimulationOptions fleetOf(unsigned processes, unsigned engines) {
  FleetSimulationOptions o;
  o.Processes = processes;
  o.Engines = engines;
  o.FailureDomains = 5;
  o.Classes = mixedLoad(engines);
  o.Shape = swingingShape;
  return o;
}

double inTimeRatio(const CallerOutcome &o) {
  return static_cast<double>(o.InTime) / std::max(1U, o.Requests);
}

} // namespace

// The target of the large fleets: at 195 processes, at most 0.05 less of the
// requests is in time than at 6 processes with the same load per engine.
TEST_CASE("callers get the same from many processes as from few") {
  FleetOutcome few = FleetSimulation(fleetOf(6, 60)).run();
  for (unsigned processes : {60U, 195U, 350U}) {
    INFO(processes << " processes");
    FleetOutcome many = FleetSimulation(fleetOf(processes, 60)).run();
    CHECK(many.inTimeRatio() > few.inTimeRatio() - 0.05);
    CHECK(many.BusiestPrefillEngine < 1.5);
  }
}

TEST_CASE("asking trackers serves a large fleet better than old reports") {
  FleetSimulationOptions o = fleetOf(195, 60);
  FleetOutcome asked = FleetSimulation(o).run();
  o.Knowledge = LoadKnowledge::Reports;
  o.ReportAge = Milliseconds(300);
  FleetOutcome told = FleetSimulation(o).run();
  CHECK(asked.inTimeRatio() > told.inTimeRatio() + 0.1);
}

// Half of the possible loss: a stream that is late by a pause is lost although
// its first event was in time.
TEST_CASE("few streams are late by a pause while prompts are prefilled") {
  FleetOutcome out = FleetSimulation(fleetOf(60, 60)).run();
  for (const auto &[name, it] : out.Classes) {
    INFO(name);
    CHECK(it.LatePause < 0.05 * it.Requests);
  }
}

TEST_CASE("a kind of request that doubles for 5 s is mostly in time") {
  FleetSimulationOptions o = fleetOf(60, 60);
  o.Shape = [](const SimulatedClass &c, SimulatedTime t) {
    bool isBurst = t > Seconds(5) && t < Seconds(10);
    return isBurst && c.Name == "match" ? 2.0 : 1.0;
  };
  FleetOutcome out = FleetSimulation(o).run();
  CHECK(inTimeRatio(out.Classes["match"]) > 0.8);
  CHECK(inTimeRatio(out.Classes["question"]) > 0.8);
  CHECK(out.Classes["draft"].Rejected < 0.05 * out.Classes["draft"].Requests);
}

TEST_CASE("callers get most answers in time while a quarter of the engines is "
          "slow") {
  FleetSimulationOptions o = fleetOf(30, 60);
  o.Classes = mixedLoad(0.6 * 60);
  o.SlowRatio = 0.25;
  FleetOutcome out = FleetSimulation(o).run();
  CHECK(out.inTimeRatio() > 0.7);
}

// Seen once as a failed gate of sizes: long prompts were put behind all others
// when they could only just miss the objective, and rejected there because the
// wait was too long.
TEST_CASE("large prompts are served about as often as others in overload") {
  // Ratio that SizeFairness aims for.
  constexpr double FairRatio = 0.8;
  FleetSimulationOptions o = fleetOf(6, 12);
  o.PrefillRatio = 0.34;
  o.Knowledge = LoadKnowledge::Reports;
  o.Classes = mixedLoad(2.0 * 12);
  o.Duration = Seconds(40);
  FleetOutcome out = FleetSimulation(o).run();
  const CallerOutcome &draft = out.Classes["draft"];
  double served = static_cast<double>(draft.Served) / draft.Requests;
  double largeServed = static_cast<double>(draft.LargeServed) / draft.Large;
  CHECK(served > 0.5);
  CHECK(largeServed > FairRatio * served);
}

// The memory of the prefill engines holds every part one and a half times. If
// each busy engine passes its parts on to others, they displace one another and
// are prefilled again, which keeps the engines busy.
TEST_CASE("shared parts are mostly found cached in overload") {
  FleetSimulationOptions o = fleetOf(60, 140);
  o.PrefillRatio = 0.35;
  o.Classes = longPromptLoad(1.35 * 140);
  o.Shape = nullptr;
  o.Engine = longPromptEngine();
  FleetOutcome out = FleetSimulation(o).run();
  CHECK(out.SharedPrefilledRatio < 0.5);
  CHECK(inTimeRatio(out.Classes["question"]) > 0.8);
}
