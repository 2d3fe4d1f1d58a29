#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"
#include "StandIns/Platform/WorkerHistory.h"
#include "StandIns/Soak/SoakChecks.h"

#include <catch2/catch.hpp>

#include <array>
#include <map>
#include <set>
#include <vector>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

constexpr Milliseconds StartTime{20'000};
constexpr Milliseconds LoadTime{4'000};
constexpr Milliseconds Deadline{3'000};
constexpr Milliseconds CallerPause{5};
constexpr unsigned CallersPerRoute = 2;
/// maxAttempts of the repeatable routes of the deployment.
constexpr size_t MaxAttempts = 2;

constexpr std::array<const char *, 4> Routes = {OnceRoute, RepeatableRoute,
                                                ResumableRoute, StreamRoute};

constexpr std::array<RepeatedRejection, 4> Repeats = {
    RepeatedRejection::AtOnce, RepeatedRejection::Later,
    RepeatedRejection::AfterNextRequest,
    RepeatedRejection::AfterNextRequestInParts};

/// Loads all routes of a deployment whose servers reject some requests.
class RejectionCase {
public:
  RejectionCase(RepeatedRejection repeats, bool hasId)
      : Deployment(Io, options()) {
    for (DeployedWorker &it : Deployment.Workers) {
      it.Flags = {"--shed_every=3",
                  hasId ? "--shed_with_id=true" : "--shed_with_id=false"};
      it.Link->setRepeatedRejections(repeats);
    }
  }

  void run() {
    bool ready = false;
    spawn(Io, "case", [&]() -> Awaitable<void> {
      ready = co_await Deployment.bringUp(StartTime);
      MonoTime end = MonoClock::now() + LoadTime;
      for (const char *it : Routes)
        for (unsigned i = 0; ready && i < CallersPerRoute; ++i)
          spawn(Io, "caller", [this, it, i, end] { return call(it, i, end); });
      co_await sleepFor(ready ? LoadTime + Deadline : Milliseconds(0));
      Io.stop();
    });
    Io.run();
    REQUIRE(ready);
    for (const WorkerEvent &it : readHistory(Deployment.historyFile()))
      if (it.Action == "run")
        RunAt[it.Request].insert(it.Server);
  }

  size_t runs(const CallResult &c) const {
    auto it = RunAt.find(c.Id);
    return it == RunAt.end() ? 0 : it->second.size();
  }

  template <class Condition>
  size_t count(const std::string &route, Condition isCounted) const {
    size_t n = 0;
    for (const CallResult &it : Calls)
      n += it.Route == route && isCounted(it) ? 1 : 0;
    return n;
  }

  double correctRatio(const std::string &route) const {
    size_t correct = count(route, [](const CallResult &it) {
      return it.Outcome == DaemonCallOutcome::Correct;
    });
    size_t all = count(route, [](const CallResult &) { return true; });
    return static_cast<double>(correct) / static_cast<double>(all);
  }

  IoContext Io{1};
  PlatformDeployment Deployment;
  std::vector<CallResult> Calls;

private:
  static PlatformDeploymentOptions options() {
    PlatformDeploymentOptions o;
    o.Programs = SARDINEFORD_PROGRAMS;
    o.Folder = makeTemporaryFolder();
    o.Daemons = 2;
    o.PlainServers = 4;
    o.RetrySlack = 100'000;
    return o;
  }

  Awaitable<void> call(std::string route, unsigned n, MonoTime end) {
    http::Client client(Io);
    while (MonoClock::now() < end) {
      http::Endpoint daemon = Deployment.Daemons[n].HttpListen;
      Calls.push_back(co_await callDaemon(client, daemon, route, Deadline));
      co_await sleepFor(CallerPause);
    }
  }

  std::map<std::string, std::set<std::string>> RunAt;
};

void checkPromises(bool hasId) {
  for (RepeatedRejection repeats : Repeats) {
    INFO("repeats " << static_cast<int>(repeats) << ", with id " << hasId);
    RejectionCase c(repeats, hasId);
    c.run();
    CHECK(checkInvariants(c.Calls, c.Deployment.historyFile()) ==
          std::vector<std::string>{});
    for (const char *route : Routes) {
      INFO(route);
      // Status 503 says that the request was not run, whatever its route.
      CHECK(c.count(route, [&](const CallResult &it) {
        return it.Outcome == DaemonCallOutcome::Rejected && c.runs(it) > 0;
      }) == 0);
      CHECK(c.count(route, [&](const CallResult &it) {
        return c.runs(it) > MaxAttempts;
      }) == 0);
      CHECK(c.correctRatio(route) > 0);
    }
  }
}

} // namespace

TEST_CASE("a repeated rejection without an id is not taken for the next "
          "request's",
          "[process]") {
  checkPromises(false);
}

TEST_CASE("a repeated rejection with an id is not taken for the next request's",
          "[process]") {
  checkPromises(true);
}

TEST_CASE("rejections with ids open no connections while all servers are full",
          "[process]") {
  IoContext io(1);
  PlatformDeployment deployment(io, {.Programs = SARDINEFORD_PROGRAMS,
                                     .Folder = makeTemporaryFolder(),
                                     .Daemons = 1,
                                     .PlainServers = 2,
                                     .RetrySlack = 100'000});
  deployment.Workers[0].Flags = {"--shed_every=1"};
  deployment.Workers[1].Flags = {"--shed_every=1"};
  http::Client client(io);
  size_t rejected = 0;
  spawn(io, "case", [&]() -> Awaitable<void> {
    bool ready = co_await deployment.bringUp(StartTime);
    MonoTime end = MonoClock::now() + LoadTime;
    while (ready && MonoClock::now() < end) {
      CallResult r = co_await callDaemon(
          client, deployment.Daemons[0].HttpListen, RepeatableRoute, Deadline);
      rejected += r.Outcome == DaemonCallOutcome::Rejected ? 1 : 0;
      co_await sleepFor(CallerPause);
    }
    io.stop();
  });
  io.run();
  size_t connections = deployment.Workers[0].Link->connections() +
                       deployment.Workers[1].Link->connections();
  INFO(connections << " connections");
  CHECK(rejected > 100);
  CHECK(connections * 10 <= rejected);
}

TEST_CASE("a repeated rejection does not close its server again", "[process]") {
  constexpr Milliseconds RejectFrom{7'000};
  constexpr Milliseconds RejectTime{300};
  // Longer than the delays of the deployment's start, shorter than connections
  // stay idle.
  constexpr Milliseconds RetryAfter{1'000};
  IoContext io(1);
  PlatformDeployment deployment(io, {.Programs = SARDINEFORD_PROGRAMS,
                                     .Folder = makeTemporaryFolder(),
                                     .Daemons = 1,
                                     .PlainServers = 2,
                                     .RetrySlack = 100'000});
  DeployedWorker &server = deployment.Workers.front();
  server.Flags = {"--retry_after=1",
                  "--reject_from_ms=" + std::to_string(RejectFrom.count()),
                  "--reject_ms=" + std::to_string(RejectTime.count())};
  server.Link->setRepeatedRejections(RepeatedRejection::AfterNextRequest);
  http::Client client(io);
  std::vector<double> closings;
  auto readClosings = [&]() -> Awaitable<void> {
    http::Request r;
    r.Target = "/metrics";
    http::Response metrics =
        co_await client.call(deployment.Daemons[0].Metrics, r);
    constexpr std::string_view Name =
        "sardineford_servers_closed_total{service=\"desk\"} ";
    size_t at = metrics.Body.find(Name);
    closings.push_back(at == std::string::npos
                           ? 0
                           : std::stod(metrics.Body.substr(at + Name.size())));
  };
  MonoTime start = MonoClock::now();
  size_t correct = 0;
  size_t calls = 0;
  auto callUntil = [&](Milliseconds end) -> Awaitable<void> {
    while (MonoClock::now() < start + end) {
      CallResult r = co_await callDaemon(
          client, deployment.Daemons[0].HttpListen, RepeatableRoute, Deadline);
      ++calls;
      correct += r.Outcome == DaemonCallOutcome::Correct ? 1 : 0;
      co_await sleepFor(CallerPause);
    }
  };
  spawn(io, "case", [&]() -> Awaitable<void> {
    bool ready = co_await deployment.bringUp(StartTime);
    for (unsigned i = 0; ready && i < CallersPerRoute; ++i)
      spawn(io, "caller", [&]() -> Awaitable<void> {
        co_await callUntil(RejectFrom + RetryAfter * 4);
      });
    co_await callUntil(RejectFrom + RejectTime + RetryAfter * 2 / 5);
    co_await readClosings();
    co_await callUntil(RejectFrom + RetryAfter * 4);
    co_await readClosings();
    io.stop();
  });
  io.run();
  REQUIRE(closings.size() == 2);
  CHECK(closings[0] > 0);
  CHECK(closings[1] == closings[0]);
  CHECK(correct == calls);
}

TEST_CASE("a request that may run once is rejected as not run if all servers "
          "reject it",
          "[process]") {
  for (bool hasId : {false, true}) {
    RejectionCase c(RepeatedRejection::AfterNextRequest, hasId);
    c.run();
    for (const char *route : {OnceRoute, StreamRoute}) {
      INFO(route << ", with id " << hasId);
      CHECK(c.count(route, [&](const CallResult &it) {
        return it.Outcome == DaemonCallOutcome::Failed && c.runs(it) == 0;
      }) == 0);
    }
  }
}
