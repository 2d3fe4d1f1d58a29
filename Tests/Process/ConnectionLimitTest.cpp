#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"
#include "StandIns/Soak/SoakChecks.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

constexpr Milliseconds StartTime{20'000};
constexpr Milliseconds Deadline{4'000};
constexpr Milliseconds BurstPause{500};
constexpr unsigned MaxConnections = 10;
constexpr unsigned Bursts = 6;
/// Callers of a burst at each of the processes: together more than the servers
/// have connections.
constexpr unsigned CallersPerDaemon = 12;

} // namespace

// Guards against connections beyond the limit of a server. It resets them, and
// requests executed at most once end with 502 although they were not executed.
TEST_CASE("a burst of requests executed at most once is not reset",
          "[process]") {
  IoContext io(1);
  PlatformDeploymentOptions o;
  o.Programs = SARDINEFORD_PROGRAMS;
  o.Folder = makeTemporaryFolder();
  o.Daemons = 3;
  o.PlainServers = 2;
  o.MaxConnections = MaxConnections;
  PlatformDeployment deployment(io, o);
  std::vector<CallResult> calls;
  bool ready = false;
  auto call = [&](unsigned daemon) -> Awaitable<void> {
    http::Client client(io);
    calls.push_back(co_await callDaemon(
        client, deployment.Daemons[daemon].HttpListen, OnceRoute, Deadline));
  };
  spawn(io, "case", [&]() -> Awaitable<void> {
    ready = co_await deployment.bringUp(StartTime);
    for (unsigned i = 0; ready && i < Bursts; ++i) {
      for (unsigned d = 0; d < o.Daemons; ++d)
        for (unsigned n = 0; n < CallersPerDaemon; ++n)
          spawn(io, "caller", [&call, d] { return call(d); });
      co_await sleepFor(BurstPause);
    }
    co_await sleepFor(ready ? Deadline : Milliseconds(0));
    io.stop();
  });
  io.run();
  REQUIRE(ready);
  CHECK(calls.size() == size_t{Bursts} * o.Daemons * CallersPerDaemon);
  for (const CallResult &it : calls) {
    INFO("status " << it.Status);
    CHECK(it.Outcome == DaemonCallOutcome::Correct);
  }
  CHECK(checkInvariants(calls, deployment.historyFile()) ==
        std::vector<std::string>{});
}
