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
