#include "Sardineford/Fleet/VersionRecord.h"
#include "StandIns/Placement/RecordSimulation.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

Milliseconds atRatio(const RecordOutcome &out, double ratio) {
  auto last = static_cast<double>(out.HeldBack.size() - 1);
  return out.HeldBack[static_cast<size_t>(ratio * last)];
}

RecordOutcome play(const char *name, const RecordSimulationOptions &o) {
  RecordOutcome out = simulateRecord(o);
  std::printf("records: %3zu processes, %-18s %u writes, %u reads, recorded "
              "after %lld ms, held back %lld ms (median), %lld (0.99), %lld "
              "(most), %zu datagrams\n",
              o.Processes, name, out.Writes, out.Reads,
              static_cast<long long>(out.RecordedAfter.count()),
              static_cast<long long>(atRatio(out, 0.5).count()),
              static_cast<long long>(atRatio(out, 0.99).count()),
              static_cast<long long>(out.HeldBack.back().count()),
              out.MostDatagrams);
  return out;
}

} // namespace

TEST_CASE("one process of any fleet records a new version before the others "
          "send it streams") {
  for (size_t processes : {6, 60, 350}) {
    INFO(processes << " processes");
    RecordSimulationOptions o;
    o.Processes = processes;
    RecordOutcome out = play("calm", o);
    CHECK(out.Writes == 1);
    CHECK(out.Unrecorded == 0);
    // Some processes miss the news.
    CHECK(out.Reads <= 1 + processes / 20);
    CHECK(atRatio(out, 0.9) <= Milliseconds(500));
    CHECK(out.HeldBack.back() <= fleet::MaxRecordDelay);
  }
}

TEST_CASE("another process records a new version if the first ones are dead or "
          "cut off from the store") {
  for (size_t processes : {6, 60, 350}) {
    INFO(processes << " processes");
    RecordSimulationOptions o;
    o.Processes = processes;
    o.DeadFirst = 2;
    RecordOutcome dead = play("two dead", o);
    CHECK(dead.Writes <= 3);
    CHECK(dead.Unrecorded == 0);
    CHECK(dead.RecordedAfter < std::chrono::seconds(1));
    o.CutRatio = 0.05;
    RecordOutcome cut = play("and 1 in 20 cut off", o);
    CHECK(cut.Writes <= 5);
    CHECK(cut.Unrecorded == 0);
    CHECK(cut.RecordedAfter < fleet::MaxRecordDelay);
  }
}

TEST_CASE("a fleet that starts writes its first record about once") {
  for (size_t processes : {6, 60, 350}) {
    INFO(processes << " processes");
    RecordSimulationOptions o;
    o.Processes = processes;
    o.StartTime = std::chrono::seconds(1);
    RecordOutcome out = play("all start", o);
    CHECK(out.Writes <= 3);
    CHECK(out.Reads <= processes);
    CHECK(out.Unrecorded == 0);
  }
}
