#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Soak/Soak.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

SoakOptions optionsFor(uint64_t seed) {
  SoakOptions o;
  o.Seed = seed;
  o.Programs = SARDINEFORD_PROGRAMS;
  o.Folder = makeTemporaryFolder();
  return o;
}

void check(const SoakReport &r) {
  for (const auto &[outcome, n] : r.Outcomes)
    std::cout << n << " " << outcome << "\n";
  for (const std::string &it : r.Violations)
    UNSCOPED_INFO(it);
  CHECK(r.Violations.empty());
}

} // namespace

TEST_CASE("the daemon serves all routes in a run without faults", "[process]") {
  SoakOptions o = optionsFor(1);
  o.Faults = false;
  o.Length = std::chrono::seconds(2);
  SoakReport r = runSoak(o);
  check(r);
  uint64_t all = 0;
  for (const auto &[outcome, n] : r.Outcomes)
    all += n;
  CHECK(r.Outcomes["correct"] == all);
  CHECK(all > 100);
}

TEST_CASE("every response is complete while servers are silent for a short "
          "time and the configuration changes",
          "[process]") {
  SoakOptions o = optionsFor(1);
  o.PlannedOnly = true;
  o.Length = std::chrono::seconds(5);
  INFO("folder " << o.Folder);
  SoakReport r = runSoak(o);
  check(r);
  CHECK(r.Faults > 3);
}

// Seed 103: all entries of servers expired while the store failed, and no
// server was readmitted because the stand-in did not answer on its health path.
// Seed 107: two stops of one process overlapped, and the second stop checked
// the process that was started after the first.
TEST_CASE("the daemon's invariants hold under faults", "[process]") {
  struct Case {
    uint64_t Seed;
    std::chrono::seconds Length;
  };
  using std::chrono_literals::operator""s;
  for (Case it : {Case{1, 6s}, Case{2, 6s}, Case{103, 4s}, Case{107, 4s}}) {
    SoakOptions o = optionsFor(it.Seed);
    o.Length = it.Length;
    INFO("seed " << it.Seed << ", folder " << o.Folder);
    check(runSoak(o));
  }
}

TEST_CASE("the daemon's invariants hold beside requests that crash engines and "
          "an engine that names a limit",
          "[process]") {
  SoakOptions o = optionsFor(1);
  o.Hazards = true;
  o.Length = std::chrono::seconds(6);
  INFO("folder " << o.Folder);
  check(runSoak(o));
}

TEST_CASE("the daemon's invariants hold beside servers that repeat rejections",
          "[process]") {
  for (uint64_t seed : {7101, 7102}) {
    SoakOptions o = optionsFor(seed);
    o.RepeatsRejections = true;
    o.Length = std::chrono::seconds(5);
    INFO("seed " << seed << ", folder " << o.Folder);
    check(runSoak(o));
  }
}

TEST_CASE("the daemon's invariants hold while daemons are cut off from all "
          "servers",
          "[process]") {
  for (uint64_t seed : {8101, 8102}) {
    SoakOptions o = optionsFor(seed);
    o.CutsDaemons = true;
    o.Length = std::chrono::seconds(6);
    INFO("seed " << seed << ", folder " << o.Folder);
    check(runSoak(o));
  }
}

TEST_CASE("the daemon's invariants hold under faults in a large fleet",
          "[process]") {
  SoakOptions o = optionsFor(1);
  o.Daemons = 14;
  o.Length = std::chrono::seconds(6);
  INFO("folder " << o.Folder);
  check(runSoak(o));
}

// Guards against a soak that passes although no process has run.
TEST_CASE("a soak whose programs are missing is no pass", "[process]") {
  SoakOptions o = optionsFor(1);
  o.Programs = o.Folder + "/none";
  CHECK_FALSE(runSoak(o).Violations.empty());
}
