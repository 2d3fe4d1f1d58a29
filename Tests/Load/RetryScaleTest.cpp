#include "StandIns/Placement/RetrySimulation.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

RetrySimulationOptions fleetOf(size_t processes, uint64_t seed) {
  RetrySimulationOptions o;
  o.Processes = processes;
  o.RequestsPerSecond = 10.0 * static_cast<double>(processes);
  o.Slack = processes > 6 ? 160 : 60;
  o.Seed = seed;
  return o;
}

RetryOutcome play(const char *name, const RetrySimulationOptions &o) {
  RetryOutcome out = simulateRetries(o);
  std::printf("retries: %3zu processes, %5.0f/s, %.2f rejected, %-26s most "
              "%.2f of the allowed, %.2f used, %.3f served, %zu not sent\n",
              o.Processes, o.RequestsPerSecond, o.RejectionRatio, name,
              out.MostOverAllowed, out.UsedRatio, out.ServedRatio, out.NotSent);
  return out;
}

void checkLimit(const char *name, const RetrySimulationOptions &o) {
  RetryOutcome out = play(name, o);
  INFO(o.Processes << " processes, " << name << ", seed " << o.Seed);
  CHECK(out.MostOverAllowed <= 1);
  CHECK(out.NotSent == 0);
}

} // namespace

TEST_CASE("the further calls of all processes stay within one limit while "
          "processes die, are cut off and start without the store") {
  for (size_t processes : {6, 60, 350})
    for (uint64_t seed : {1, 2}) {
      RetrySimulationOptions calm = fleetOf(processes, seed);
      checkLimit("calm", calm);
      RetrySimulationOptions o = calm;
      o.Deaths = {{Milliseconds(16'000), 1},
                  {Milliseconds(18'000), 0.6},
                  {Milliseconds(20'000), 0.6},
                  {Milliseconds(22'000), 1}};
      checkLimit("deaths in series", o);
      o.StoreBackAt = Milliseconds(26'000);
      checkLimit("deaths, store away", o);
      o = calm;
      o.IsHalved = true;
      checkLimit("two halves", o);
      o = calm;
      o.CutOffRatio = 0.3;
      checkLimit("0.3 cut off alone", o);
      // Longer than a silent peer is remembered by its reports.
      o.CutFrom = Milliseconds(1'000);
      o.From = Milliseconds(64'000);
      o.Until = Milliseconds(80'000);
      o.Length = Milliseconds(81'000);
      if (processes < 350)
        checkLimit("0.3 cut off for long", o);
    }
}

TEST_CASE("further attempts are made while the fleet uses little of the "
          "limit") {
  for (size_t processes : {6, 60, 350})
    for (uint64_t seed : {1, 2}) {
      RetrySimulationOptions o = fleetOf(processes, seed);
      o.RejectionRatio = 0.05;
      RetryOutcome out = play("few rejections", o);
      INFO(processes << " processes, seed " << seed);
      CHECK(out.ServedRatio >= 0.99);
      CHECK(out.MostOverAllowed <= 1);
    }
}
