#include "Control/Commands.h"
#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformDeployment.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <sstream>
#include <thread>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

constexpr size_t Daemons = 24;
constexpr Milliseconds StartTime{40'000};
constexpr Milliseconds SettleTime{20'000};

struct CommandResult {
  control::ExitCode Code = control::ExitCode::Done;
  std::string Out;
};

/// Runs the command on a thread of its own while the relays of the deployment
/// go on.
Awaitable<CommandResult> showNodes(const PlatformDeployment &deployment,
                                   bool asJson) {
  control::CommandOptions options;
  options.Arguments = {"nodes"};
  options.AsJson = asJson;
  for (const DeployedDaemon &it : deployment.Daemons)
    options.Nodes.push_back(it.Metrics);
  CommandResult result;
  std::atomic<bool> done = false;
  std::thread thread([&] {
    std::ostringstream out;
    std::ostringstream err;
    result.Code = control::runCommand(options, out, err);
    result.Out = out.str() + err.str();
    done = true;
  });
  while (!done)
    co_await sleepFor(Milliseconds(5));
  thread.join();
  co_return result;
}

} // namespace

TEST_CASE("the nodes command finds a stopped daemon among many", "[process]") {
  IoContext io(1);
  PlatformDeploymentOptions o;
  o.Programs = SARDINEFORD_PROGRAMS;
  o.Folder = makeTemporaryFolder();
  o.Daemons = Daemons;
  PlatformDeployment deployment(io, o);
  bool isReady = false;
  CommandResult healthy;
  CommandResult table;
  CommandResult asJson;
  spawn(io, "case", [&]() -> Awaitable<void> {
    isReady = co_await deployment.bringUp(StartTime);
    // The daemons have found each other.
    MonoTime end = MonoClock::now() + SettleTime;
    while (isReady && MonoClock::now() < end) {
      healthy = co_await showNodes(deployment, false);
      if (healthy.Code == control::ExitCode::Done)
        break;
      co_await sleepFor(Milliseconds(200));
    }
    if (isReady) {
      deployment.Daemons[3].ChildProcess->kill();
      co_await sleepFor(Milliseconds(200));
      table = co_await showNodes(deployment, false);
      asJson = co_await showNodes(deployment, true);
    }
    io.stop();
  });
  io.run();
  INFO("folder " << o.Folder);
  REQUIRE(isReady);
  INFO(healthy.Out);
  CHECK(healthy.Code == control::ExitCode::Done);
  CHECK(healthy.Out.starts_with("24 daemons: 0 not serving"));
  INFO(table.Out);
  CHECK(table.Code == control::ExitCode::Unhealthy);
  CHECK(table.Out.starts_with("24 daemons: 1 not serving"));
  CHECK(table.Out.find("\n" + http::toString(deployment.Daemons[3].Metrics)) !=
        std::string::npos);
  CHECK(table.Out.find("unreachable: ") != std::string::npos);
  boost::json::object v = boost::json::parse(asJson.Out).as_object();
  CHECK(v.at("severity") == "not_serving");
  CHECK(v.at("daemons").as_array().size() == Daemons);
}
