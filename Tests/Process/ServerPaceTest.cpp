#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"

#include <catch2/catch.hpp>

#include <sstream>
#include <string>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

constexpr Milliseconds StartTime{20'000};
constexpr Milliseconds Deadline{3'000};
constexpr size_t CallsPerRoute = 60;

struct PaceRun {
  bool Ready = false;
  size_t Correct = 0;
  std::string Metrics;
};

/// Calls a daemon whose servers have all just started and report a load. Few
/// slots, so that a few responses suffice for the full pace (twice the slots).
PaceRun callNewServers(const std::string &load) {
  IoContext io(1);
  PlatformDeployment deployment(io, {.Programs = SARDINEFORD_PROGRAMS,
                                     .Folder = makeTemporaryFolder(),
                                     .Daemons = 1,
                                     .PlainServers = 3,
                                     .DecodeEngines = 2,
                                     .PacesServers = true});
  for (DeployedWorker &it : deployment.Workers)
    it.Flags = {"--load_header=" + load, "--slots=4"};
  http::Client client(io);
  PaceRun out;
  spawn(io, "case", [&]() -> Awaitable<void> {
    out.Ready = co_await deployment.bringUp(StartTime);
    for (size_t i = 0; out.Ready && i < CallsPerRoute; ++i)
      for (const char *route : {OnceRoute, ResumableRoute}) {
        CallResult r = co_await callDaemon(
            client, deployment.Daemons[0].HttpListen, route, Deadline);
        out.Correct += r.Outcome == DaemonCallOutcome::Correct ? 1 : 0;
      }
    http::Request r;
    r.Target = "/metrics";
    if (out.Ready)
      out.Metrics =
          (co_await client.call(deployment.Daemons[0].Metrics, r)).Body;
    io.stop();
  });
  io.run();
  return out;
}

/// Returns how often paces changed in this way.
size_t countChanges(const PaceRun &run, const std::string &change) {
  std::istringstream lines(run.Metrics);
  size_t out = 0;
  for (std::string line; std::getline(lines, line);)
    if (line.starts_with("sardineford_server_pace_changes_total{") &&
        line.find("change=\"" + change + "\"") != std::string::npos)
      out += std::stoul(line.substr(line.rfind(' ') + 1));
  return out;
}

} // namespace

// Guards against requests that find no server while all are paced, and against
// servers that never reach their full pace.
TEST_CASE("servers that have just started reach their full pace", "[process]") {
  PaceRun run = callNewServers("1,0,8,100");
  REQUIRE(run.Ready);
  CHECK(run.Correct == 2 * CallsPerRoute);
  CAPTURE(countChanges(run, "started"), countChanges(run, "raised"),
          countChanges(run, "reduced"));
  CHECK(countChanges(run, "full") > 0);
}

// Guards against a pace for servers that do not report how long work takes.
TEST_CASE("servers without the fourth load figure are not paced", "[process]") {
  PaceRun run = callNewServers("1,0,8");
  REQUIRE(run.Ready);
  CHECK(run.Correct == 2 * CallsPerRoute);
  CHECK(countChanges(run, "full") == 0);
}
