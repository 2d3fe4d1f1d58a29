#include "StandIns/Placement/LimitSimulation.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

/// Target of all control traffic of a process.
constexpr double TargetBytesPerSecond = 7'000;

LimitSimulationOptions fleetOf(size_t processes, uint64_t seed) {
  LimitSimulationOptions o;
  o.Processes = processes;
  o.Servers = 6;
  o.RequestsPerSecond = 60;
  if (processes > 6) {
    o.Servers = 100;
    o.RequestsPerSecond = 40.0 * static_cast<double>(processes);
  }
  o.Seed = seed;
  return o;
}

LimitOutcome play(const char *name, const LimitSimulationOptions &o) {
  LimitOutcome out = simulateLimit(o);
  std::printf("limits: %3zu processes, limit %5.1f then %5.1f, %-22s most %.2f "
              "of the allowed, %.2f/s, after the end %.1f/s, %.0f B/s\n",
              o.Processes, o.Limit, o.LaterLimit, name, out.MostOverAllowed,
              out.LimitedPerSecond, out.LaterPerSecond, out.MeanBytesPerSecond);
  return out;
}

} // namespace

TEST_CASE("a limit that a server names binds the whole fleet") {
  for (size_t processes : {6, 60, 350})
    for (double limit : {0.0, 0.3, 2.2, 9.0})
      for (bool disturbed : {false, true})
        for (uint64_t seed : {1, 2}) {
          LimitSimulationOptions o = fleetOf(processes, seed);
          o.Limit = limit;
          o.LaterLimit = limit;
          if (disturbed) {
            o.CutOffRatio = 0.3;
            o.RestartRatio = 0.2;
          }
          LimitOutcome out =
              play(disturbed ? "cut off and restarted" : "calm", o);
          INFO(processes << " processes, limit " << limit << ", seed " << seed);
          CHECK(out.MostOverAllowed <= 1);
          CHECK(out.MeanBytesPerSecond < TargetBytesPerSecond);
        }
}

TEST_CASE("a limit that rises or ends is used up by the whole fleet") {
  for (size_t processes : {6, 350})
    for (uint64_t seed : {1, 2}) {
      LimitSimulationOptions o = fleetOf(processes, seed);
      double unlimited = o.RequestsPerSecond / static_cast<double>(o.Servers);
      o.Limit = 1;
      o.LaterLimit = unlimited / 2;
      LimitOutcome out = play("rises", o);
      INFO(processes << " processes, seed " << seed);
      CHECK(out.MostOverAllowed <= 1);
      CHECK(out.LimitedPerSecond >= o.LaterLimit / 4);
      CHECK(out.LaterPerSecond >= unlimited * 0.9);
    }
}
