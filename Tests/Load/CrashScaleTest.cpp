#include "StandIns/Placement/CrashSimulation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

/// Requests that may reach engines later than a stability window after the
/// fifth crash.
constexpr unsigned AllowedArrivals = 3;
/// Target of all control traffic of a process.
constexpr double TargetBytesPerSecond = 7'000;

CrashSimulationOptions fleetOf(size_t processes) {
  CrashSimulationOptions o;
  o.Processes = processes;
  o.Engines = processes == 6 ? 6 : processes;
  o.SoundPerSecond = 10.0 * static_cast<double>(o.Engines);
  return o;
}

uint64_t seedsOf(size_t processes) { return processes > 60 ? 1 : 3; }

void print(const char *name, const CrashSimulationOptions &o,
           const CrashOutcome &out) {
  std::printf(
      "crashes: %3zu processes, %-28s %3u crashes, %u late arrivals, "
      "late sound begun %.3f, sound rejected %.4f, %.0f B/s, most %.0f\n",
      o.Processes, name, out.Crashes, out.LateArrivals, out.lateBegunRatio(),
      out.rejectedRatio(), out.MeanBytesPerSecond, out.MostBytesPerSecond);
}

} // namespace

TEST_CASE("a prompt part that crashes engines is stopped by the whole fleet") {
  for (size_t processes : {6, 60, 350})
    for (double rate : {0.5, 2.0, 8.0})
      for (bool disturbed : {false, true}) {
        CrashSimulationOptions o = fleetOf(processes);
        o.CrashingPerSecond = rate;
        if (disturbed) {
          o.CutOffRatio = 0.3;
          o.RestartRatio = 0.2;
        }
        for (uint64_t seed = 1; seed <= seedsOf(processes); ++seed) {
          o.Seed = seed;
          CrashOutcome out = simulateCrashes(o);
          print(disturbed ? "cut off and restarted" : "calm", o, out);
          INFO(processes << " processes, " << rate << "/s, seed " << seed);
          CHECK(out.LateArrivals <= AllowedArrivals);
          CHECK(out.lateBegunRatio() >= 0.5);
          CHECK(out.MeanBytesPerSecond < TargetBytesPerSecond);
        }
      }
}

TEST_CASE("a prompt part is stopped if all answers end before the crash") {
  for (size_t processes : {6, 350})
    for (double rate : {0.5, 8.0})
      for (uint64_t seed = 1; seed <= seedsOf(processes); ++seed) {
        CrashSimulationOptions o = fleetOf(processes);
        o.CrashingPerSecond = rate;
        o.ShortAnswers = true;
        o.Seed = seed;
        CrashOutcome out = simulateCrashes(o);
        print("short answers", o, out);
        INFO(processes << " processes, " << rate << "/s, seed " << seed);
        CHECK(out.LateArrivals <= AllowedArrivals);
        CHECK(out.lateBegunRatio() >= 0.5);
        CHECK(out.rejectedRatio() <= 0.05);
      }
}

TEST_CASE("engines that crash for other reasons block no prompt part") {
  for (size_t processes : {6, 60, 350})
    for (size_t takenAlong : {0, 2})
      for (uint64_t seed = 1; seed <= seedsOf(processes); ++seed) {
        CrashSimulationOptions o = fleetOf(processes);
        o.CrashingPerSecond = 0;
        o.OtherCrashesPerSecond = 1;
        o.TakenAlong = takenAlong;
        o.Seed = seed;
        CrashOutcome out = simulateCrashes(o);
        print("other crashes", o, out);
        INFO(processes << " processes, " << takenAlong << " taken along, seed "
                       << seed);
        CHECK(out.rejectedRatio() <= 0.05);
      }
}

TEST_CASE("trials whose answers are cut off do not keep sound parts blocked") {
  for (size_t processes : {6, 60, 350})
    for (uint64_t seed = 1; seed <= seedsOf(processes); ++seed) {
      CrashSimulationOptions o = fleetOf(processes);
      o.OtherCrashesPerSecond = 0.2;
      o.TakenAlong = 1;
      o.CutAnswerRatio = 0.5;
      o.Seed = seed;
      CrashOutcome out = simulateCrashes(o);
      print("cut answers", o, out);
      INFO(processes << " processes, seed " << seed);
      CHECK(out.LateArrivals <= AllowedArrivals);
      CHECK(out.rejectedRatio() <= 0.05);
    }
}

TEST_CASE("sound requests that share parts with crashing ones are served") {
  for (size_t processes : {6, 350})
    for (double oneCaller : {0.0, 1.0})
      for (uint64_t seed = 1; seed <= seedsOf(processes); ++seed) {
        CrashSimulationOptions o = fleetOf(processes);
        o.OneCallerRatio = oneCaller;
        o.OtherCrashesPerSecond = 0.2;
        o.TakenAlong = 1;
        o.Seed = seed;
        CrashOutcome out = simulateCrashes(o);
        print(oneCaller > 0 ? "one caller" : "all callers", o, out);
        INFO(processes << " processes, one caller " << oneCaller << ", seed "
                       << seed);
        CHECK(out.LateArrivals <= AllowedArrivals);
        CHECK(out.lateBegunRatio() >= 0.5);
        CHECK(out.rejectedRatio() <= 0.05);
      }
}

namespace {

/// Few servers for many processes.
CrashSimulationOptions repeatsOf(size_t processes) {
  CrashSimulationOptions o;
  o.Processes = processes;
  o.Engines = std::max<size_t>(3, processes / 10);
  o.SoundPerSecond = 20.0 * static_cast<double>(o.Engines);
  o.AreRepeats = true;
  o.SoundRepeatRatio = 0.3;
  return o;
}

} // namespace

TEST_CASE("a request that crashes servers is stopped by the whole fleet") {
  for (size_t processes : {6, 60, 350})
    for (double rate : {0.5, 4.0})
      for (bool disturbed : {false, true}) {
        CrashSimulationOptions o = repeatsOf(processes);
        o.CrashingPerSecond = rate;
        if (disturbed) {
          o.CutOffRatio = 0.3;
          o.RestartRatio = 0.2;
        }
        for (uint64_t seed = 1; seed <= seedsOf(processes); ++seed) {
          o.Seed = seed;
          CrashOutcome out = simulateCrashes(o);
          print(disturbed ? "repeats, cut off, restarted" : "repeats", o, out);
          INFO(processes << " processes, " << rate << "/s, seed " << seed);
          CHECK(out.LateArrivals <= AllowedArrivals);
          CHECK(out.lateBegunRatio() >= 0.5);
          CHECK(out.rejectedRatio() <= 0.05);
          CHECK(out.MeanBytesPerSecond < TargetBytesPerSecond);
        }
      }
}

TEST_CASE("servers that crash for other reasons block no repeated request") {
  for (size_t processes : {6, 60, 350})
    for (size_t takenAlong : {0, 2})
      for (uint64_t seed = 1; seed <= seedsOf(processes); ++seed) {
        CrashSimulationOptions o = repeatsOf(processes);
        // Some servers have to live for an answer to tell requests apart.
        o.Engines = std::max<size_t>(6, o.Engines);
        o.CrashingPerSecond = 0;
        o.OtherCrashesPerSecond = 1;
        o.SoundRepeatRatio = 0.9;
        o.TakenAlong = takenAlong;
        o.Seed = seed;
        CrashOutcome out = simulateCrashes(o);
        print("repeats, other crashes", o, out);
        INFO(processes << " processes, " << takenAlong << " taken along, seed "
                       << seed);
        CHECK(out.rejectedRatio() <= 0.05);
      }
}
