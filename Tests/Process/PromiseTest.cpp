#include "Sardineford/Common/Random.h"
#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"
#include "StandIns/Platform/WorkerHistory.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

constexpr Milliseconds StartTime{20'000};
constexpr Milliseconds Deadline{4'000};

/// Starts a deployment and runs a test case on it.
class Scenario {
public:
  explicit Scenario(PlatformDeploymentOptions o)
      : Folder(makeTemporaryFolder()),
        Deployment(Io, withFolders(std::move(o))), Client(Io) {}

  void run(std::function<Awaitable<void>()> body) {
    spawn(Io, "case", [this, body]() -> Awaitable<void> {
      Ready = co_await Deployment.bringUp(StartTime);
      if (Ready)
        co_await body();
      Io.stop();
    });
    Io.run();
    INFO("folder " << Folder);
    REQUIRE(Ready);
  }

  /// Sends requests to one daemon until a request gets no correct response.
  void callUntilRejected(const DeployedDaemon &d, const std::string &route) {
    ++Callers;
    spawn(Io, "caller", [this, &d, route]() -> Awaitable<void> {
      for (;;) {
        CallResult r =
            co_await callDaemon(Client, d.HttpListen, route, Deadline);
        Calls.push_back(r);
        if (r.Outcome != DaemonCallOutcome::Correct)
          break;
      }
      --Callers;
    });
  }

  std::vector<WorkerEvent> history() const {
    return readHistory(Deployment.historyFile());
  }

  IoContext Io{1};
  std::string Folder;
  PlatformDeployment Deployment;
  http::Client Client;
  std::vector<CallResult> Calls;
  int Callers = 0;

private:
  PlatformDeploymentOptions withFolders(PlatformDeploymentOptions o) const {
    o.Programs = SARDINEFORD_PROGRAMS;
    o.Folder = Folder;
    return o;
  }

  bool Ready = false;
};

/// Sends a request and closes the connection after the given time, while the
/// request is served. Returns the id of the request.
Awaitable<std::string> callAndDisconnect(Scenario &s, std::string route,
                                         Milliseconds after) {
  std::string id = makeId();
  http::CallOptions options;
  options.FreshConnection = true;
  options.Abort = std::make_shared<http::AbortHandle>();
  spawn(s.Io, "disconnect",
        [abortHandle = options.Abort, after]() -> Awaitable<void> {
          co_await sleepFor(after);
          abortHandle->abort();
        });
  http::Request request = makeCall(id, route, Deadline);
  try {
    std::unique_ptr<http::ResponseStream> response = co_await s.Client.open(
        s.Deployment.Daemons[0].HttpListen, std::move(request), options);
    for (;;) {
      std::string piece = co_await response->read(Deadline);
      if (piece.empty())
        break;
    }
  } catch (const http::TransportError &) {
    // Expected: the abort above closed the connection.
    co_return id;
  }
  co_return id;
}

/// Returns the time of the last event of a kind, by request or by server.
std::map<std::string, Milliseconds>
lastEventTimes(const std::vector<WorkerEvent> &history,
               std::string WorkerEvent::*key, const std::string &what) {
  std::map<std::string, Milliseconds> out;
  for (const WorkerEvent &it : history)
    if (it.Action == what)
      out[it.*key] = it.Time;
  return out;
}

} // namespace

// The platform allows 500 ms from the close of the caller's connection to the
// end of the work.
TEST_CASE("a backend server cancels a request when its caller disconnects",
          "[process]") {
  PlatformDeploymentOptions o;
  o.Daemons = 1;
  // Longer than the delay before the disconnect plus 500 ms, so that no request
  // completes by itself.
  o.WorkTime = Milliseconds(3'000);
  o.StepTime = Milliseconds(1'500);
  Scenario s(o);
  std::map<std::string, Milliseconds> disconnectedAt;
  std::vector<WorkerEvent> history;
  s.run([&]() -> Awaitable<void> {
    for (const char *route :
         {OnceRoute, RepeatableRoute, ResumableRoute, StreamRoute}) {
      std::string id = co_await callAndDisconnect(s, route, Milliseconds(150));
      disconnectedAt[id] = toMilliseconds(WallClock::now().time_since_epoch());
    }
    co_await sleepFor(Milliseconds(700));
    history = s.history();
  });
  REQUIRE(disconnectedAt.size() == 4);
  auto cancelled = lastEventTimes(history, &WorkerEvent::Request, "cancelled");
  for (const auto &[id, at] : disconnectedAt) {
    INFO(id);
    REQUIRE(cancelled.contains(id));
    CHECK(cancelled[id] < at + Milliseconds(500));
  }
}

TEST_CASE("a stopping daemon exits in time and completes accepted requests",
          "[process]") {
  PlatformDeploymentOptions o;
  o.Daemons = 2;
  o.StepTime = Milliseconds(50);
  Scenario s(o);
  bool hasExited = false;
  Milliseconds stopTime{0};
  s.run([&]() -> Awaitable<void> {
    DeployedDaemon &d = s.Deployment.Daemons[0];
    for (int i = 0; i < 3; ++i)
      for (const char *route :
           {OnceRoute, RepeatableRoute, ResumableRoute, StreamRoute})
        s.callUntilRejected(d, route);
    co_await sleepFor(Milliseconds(700));
    MonoTime start = MonoClock::now();
    d.ChildProcess->terminate();
    while (d.ChildProcess->running() &&
           MonoClock::now() < start + 2 * StopGrace)
      co_await sleepFor(Milliseconds(10));
    hasExited = !d.ChildProcess->running();
    stopTime = toMilliseconds(MonoClock::now() - start);
    while (s.Callers > 0 && MonoClock::now() < start + 2 * StopGrace)
      co_await sleepFor(Milliseconds(10));
  });
  CHECK(hasExited);
  CHECK(stopTime < StopGrace);
  CHECK(s.Callers == 0);
  for (const CallResult &it : s.Calls) {
    INFO(it.Id << " on " << it.Route << ", status " << it.Status);
    // After the stop, connections or requests are rejected.
    CHECK((it.Outcome == DaemonCallOutcome::Correct ||
           it.Outcome == DaemonCallOutcome::NotSent ||
           it.Outcome == DaemonCallOutcome::Rejected));
  }
}

// A server reports to the platform that it is leaving. The platform allows 3 s
// from the acknowledgement of the report to the last request at the server.
TEST_CASE("a leaving backend server receives no further requests",
          "[process]") {
  PlatformDeploymentOptions o;
  o.DrainTime = Milliseconds(4'500);
  Scenario s(o);
  std::vector<std::string> leaving;
  std::vector<WorkerEvent> history;
  s.run([&]() -> Awaitable<void> {
    for (const DeployedDaemon &d : s.Deployment.Daemons)
      for (const char *route : {OnceRoute, RepeatableRoute, ResumableRoute})
        s.callUntilRejected(d, route);
    co_await sleepFor(Milliseconds(500));
    // Streams share engines, so that an engine may have none.
    std::set<std::string> busy;
    for (const WorkerEvent &it : s.history())
      if (it.Action == "run")
        busy.insert(it.Server);
    for (DeployedWorker &it : s.Deployment.Workers) {
      if (!busy.contains(it.Id))
        continue;
      bool first = leaving.empty() && it.Service == "desk";
      bool decode = leaving.size() == 1 && it.Stage == "decode";
      if (!first && !decode)
        continue;
      leaving.push_back(it.Id);
      it.ChildProcess->terminate();
    }
    co_await sleepFor(Milliseconds(4'500));
    history = s.history();
  });
  REQUIRE(leaving.size() == 2);
  auto drainingSince =
      lastEventTimes(history, &WorkerEvent::Server, "draining");
  REQUIRE(drainingSince.size() == 2);
  std::map<std::string, int> executedBefore;
  for (const WorkerEvent &it : history) {
    if (it.Action != "run" || !drainingSince.contains(it.Server))
      continue;
    INFO(it.Request << " at " << it.Server);
    CHECK(it.Time < drainingSince[it.Server] + Milliseconds(3'000));
    executedBefore[it.Server] += it.Time < drainingSince[it.Server] ? 1 : 0;
  }
  for (const std::string &it : leaving)
    CHECK(executedBefore[it] > 0);
  for (const CallResult &it : s.Calls)
    CHECK(it.Outcome == DaemonCallOutcome::Correct);
}
