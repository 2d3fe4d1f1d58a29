#include "Peers/OriginHandover.h"
#include "StandIns/Placement/HandoverSimulation.h"
#include "StandIns/Placement/OriginSimulation.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

struct DeathCase {
  const char *Name;
  double DyingRatio;
  bool DomainDies;
};

constexpr DeathCase DeathCases[] = {{"beginner", 0, false},
                                    {"a tenth", 0.1, false},
                                    {"a domain", 0, true},
                                    {"55 of 100", 0.55, false}};

/// Target of all control traffic of a process.
constexpr double TargetBytesPerSecond = 7'000;
constexpr double MaxDatagramBytes = 1'500;

} // namespace

// The share of taken-up streams that goes on has to be at least half that of
// new streams.
TEST_CASE("the version of a stream is found after deaths in any fleet") {
  for (size_t processes : {6, 60, 195, 350})
    for (const DeathCase &it : DeathCases) {
      OriginSimulationOptions o;
      o.Processes = processes;
      o.DyingRatio = it.DyingRatio;
      o.DomainDies = it.DomainDies;
      OriginOutcome out = simulateOrigins(o);
      INFO(processes << " processes, dying: " << it.Name);
      std::printf("origins: %3zu processes, dying: %-9s found %.4f\n",
                  processes, it.Name, out.foundRatio());
      CHECK(out.Streams == o.Streams);
      CHECK(out.Wrong == 0);
      CHECK(out.foundRatio() >= 0.5);
      if (it.DyingRatio == 0 && !it.DomainDies)
        CHECK(out.foundRatio() >= 0.99);
    }
}

TEST_CASE("the records of streams take few bytes in any fleet") {
  struct Load {
    size_t Processes;
    double StreamsPerSecond;
  };
  for (const Load &it : {Load{6, 84}, Load{350, 14'000}}) {
    OriginSimulationOptions o;
    o.Processes = it.Processes;
    OriginOutcome out = simulateOrigins(o);
    double rate = it.StreamsPerSecond / static_cast<double>(it.Processes);
    double datagrams = out.Records.Datagrams / out.Streams;
    double bytes = out.Records.Bytes / out.Streams;
    std::printf(
        "origins: %3zu processes, each %.0f streams/s: %.0f datagrams/s, "
        "%.0f B/s; a stream taken up %.1f datagrams, %.0f B\n",
        it.Processes, rate, rate * datagrams, rate * bytes,
        out.Questions.Datagrams / out.Streams,
        out.Questions.Bytes / out.Streams);
    INFO(it.Processes << " processes");
    CHECK(rate * bytes < TargetBytesPerSecond);
  }
}

// The share of taken-up streams that goes on has to be at least half that of
// new streams.
TEST_CASE("versions are found after two waves of deaths in any fleet") {
  struct Load {
    size_t Processes;
    double StreamsPerSecond;
  };
  for (const Load &it : {Load{6, 84}, Load{60, 1'000}, Load{350, 14'000}}) {
    unsigned streams = 0;
    unsigned found = 0;
    unsigned foundWithout = 0;
    HandoverOutcome out;
    // A few processes die in many ways.
    for (uint64_t seed = 1; seed <= (it.Processes < 100 ? 20 : 1); ++seed) {
      HandoverSimulationOptions o;
      o.Processes = it.Processes;
      o.StreamsPerSecond = it.StreamsPerSecond;
      o.Seed = seed;
      if (it.Processes > 100)
        o.StreamTime = Milliseconds(2'000);
      out = simulateHandovers(o);
      streams += out.Streams;
      found += out.Found;
      o.HandsOver = false;
      foundWithout += simulateHandovers(o).Found;
      CHECK(out.MaxBytesPerSecond <= peers::HandoverQueue::BurstBytes +
                                         peers::HandoverQueue::BytesPerSecond +
                                         MaxDatagramBytes);
    }
    std::printf(
        "handovers: %3zu processes, found %.3f, without %.3f; a process "
        "%.0f datagrams, %.0f B, at most %.0f B in a second\n",
        it.Processes, double(found) / streams, double(foundWithout) / streams,
        out.MeanDatagrams, out.MeanBytes, out.MaxBytesPerSecond);
    INFO(it.Processes << " processes");
    CHECK(double(found) / streams >= 0.5);
    CHECK(found >= foundWithout);
  }
}
