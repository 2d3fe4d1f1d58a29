#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"

#include <catch2/catch.hpp>

#include <sstream>
#include <vector>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

constexpr Milliseconds StartTime{20'000};
constexpr Milliseconds Deadline{4'000};

struct SilenceResult {
  std::vector<CallResult> Calls;
  /// Further attempts that the daemons made.
  double Retries = 0;
};

/// Returns the sum of the metric lines that contain the text.
double sumOfLines(const std::string &metrics, const std::string &text) {
  std::istringstream lines(metrics);
  double sum = 0;
  for (std::string line; std::getline(lines, line);)
    if (line.find(text) != std::string::npos)
      sum += std::stod(line.substr(line.rfind(' ')));
  return sum;
}

/// Sends requests on all routes, silences the chosen backend servers for the
/// time and returns the results of the requests that were open meanwhile.
SilenceResult
callDuringSilence(Milliseconds silence,
                  std::function<bool(const DeployedWorker &)> isSilenced,
                  double retrySlack = 10,
                  Milliseconds prefillDelay = Milliseconds(0)) {
  IoContext io(1);
  PlatformDeploymentOptions o;
  o.Programs = SARDINEFORD_PROGRAMS;
  o.Folder = makeTemporaryFolder();
  o.Daemons = 2;
  o.RetrySlack = retrySlack;
  // Streams last longer than it takes to silence the servers.
  o.StepTime = Milliseconds(60);
  o.WorkTime = Milliseconds(400);
  PlatformDeployment deployment(io, o);
  http::Client client(io);
  SilenceResult out;
  std::vector<CallResult> &calls = out.Calls;
  size_t open = 0;
  bool ready = false;
  spawn(io, "case", [&]() -> Awaitable<void> {
    ready = co_await deployment.bringUp(StartTime);
    for (int i = 0; ready && i < 5; ++i)
      for (const DeployedDaemon &d : deployment.Daemons)
        for (const char *route :
             {OnceRoute, RepeatableRoute, ResumableRoute, StreamRoute}) {
          ++open;
          spawn(io, "call", [&, route]() -> Awaitable<void> {
            calls.push_back(
                co_await callDaemon(client, d.HttpListen, route, Deadline));
            --open;
          });
        }
    co_await sleepFor(Milliseconds(250));
    for (const DeployedWorker &it : deployment.Workers) {
      if (isSilenced(it))
        it.ChildProcess->pause();
      if (it.Stage == "prefill")
        it.Link->setDelay(prefillDelay);
    }
    co_await sleepFor(silence);
    for (const DeployedWorker &it : deployment.Workers)
      if (isSilenced(it))
        it.ChildProcess->resume();
    while (open > 0)
      co_await sleepFor(Milliseconds(20));
    for (const DeployedDaemon &d : deployment.Daemons) {
      http::Request request;
      request.Target = "/metrics";
      http::Response metrics =
          co_await client.call(d.Metrics, std::move(request));
      out.Retries += sumOfLines(
          metrics.Body, "sardineford_further_attempts_total{service=\"model\","
                        "taken=\"yes\"}");
    }
    io.stop();
  });
  io.run();
  INFO("folder " << o.Folder);
  REQUIRE(ready);
  REQUIRE(calls.size() == 40);
  return out;
}

} // namespace

TEST_CASE("no response is cut while its silent backend server may go on",
          "[process]") {
  SilenceResult result = callDuringSilence(
      Milliseconds(1'300), [](const DeployedWorker &) { return true; });
  for (const CallResult &it : result.Calls) {
    INFO(it.Id << " on " << it.Route << ", status " << it.Status);
    CHECK(it.Outcome == DaemonCallOutcome::Correct);
  }
}

TEST_CASE("a stream moves away from a backend server that stays silent",
          "[process]") {
  bool isFirst = true;
  std::string silenced;
  SilenceResult result =
      callDuringSilence(Milliseconds(6'000), [&](const DeployedWorker &w) {
        if (isFirst && w.Stage == "decode") {
          silenced = w.Id;
          isFirst = false;
        }
        return w.Id == silenced;
      });
  for (const CallResult &it : result.Calls) {
    if (it.Route != ResumableRoute)
      continue;
    INFO(it.Id << ", status " << it.Status);
    CHECK(it.Outcome == DaemonCallOutcome::Correct);
  }
}

TEST_CASE("a pause of the decode engines does not empty the retry budget",
          "[process]") {
  // The decode engines respond again while prompts are prefilled for further
  // attempts.
  SilenceResult result = callDuringSilence(
      Milliseconds(1'050),
      [](const DeployedWorker &w) { return w.Stage == "decode"; }, 200,
      Milliseconds(150));
  for (const CallResult &it : result.Calls) {
    INFO(it.Id << " on " << it.Route << ", status " << it.Status);
    CHECK(it.Outcome == DaemonCallOutcome::Correct);
  }
  // One further attempt of each stream on the resumable route.
  CHECK(result.Retries <= 10);
}
