#include "Sardineford/Common/Random.h"
#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"
#include "StandIns/Platform/WorkerHistory.h"

#include <catch2/catch.hpp>

#include <map>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

constexpr Milliseconds StartTime{20'000};
constexpr Milliseconds Deadline{4'000};

/// Starts a deployment and plays a case on it.
class Scenario {
public:
  explicit Scenario(PlatformDeploymentOptions o)
      : Folder(newFolder()), Deployment(Io, withPlaces(std::move(o))),
        Client(Io) {}

  void play(std::function<Awaitable<void>()> body) {
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

  /// Calls one daemon again and again until it takes no request any more.
  void callUntilRefused(const DeployedDaemon &d, const std::string &route) {
    ++Callers;
    spawn(Io, "caller", [this, &d, route]() -> Awaitable<void> {
      for (;;) {
        CallResult r = co_await callDaemon(Client, d.Front, route, Deadline);
        Calls.push_back(r);
        if (r.End != CallEnd::Right)
          break;
      }
      --Callers;
    });
  }

  std::vector<WorkerNote> history() const {
    return readHistory(Deployment.historyFile());
  }

  IoContext Io{1};
  std::string Folder;
  PlatformDeployment Deployment;
  http::Client Client;
  std::vector<CallResult> Calls;
  int Callers = 0;

private:
  PlatformDeploymentOptions withPlaces(PlatformDeploymentOptions o) const {
    o.Programs = SARDINEFORD_PROGRAMS;
    o.Folder = Folder;
    return o;
  }

  bool Ready = false;
};

/// Sends a request and closes the connection while it is served.
Awaitable<std::string> callAndLeave(Scenario &s, std::string route,
                                    Milliseconds after) {
  std::string id = makeId();
  http::CallOptions options;
  options.FreshConnection = true;
  options.Abort = std::make_shared<http::AbortHandle>();
  spawn(s.Io, "leave", [guard = options.Abort, after]() -> Awaitable<void> {
    co_await sleepFor(after);
    guard->abort();
  });
  http::Request request = makeCall(id, route, Deadline);
  try {
    std::unique_ptr<http::ResponseStream> answer = co_await s.Client.open(
        s.Deployment.Daemons[0].Front, std::move(request), options);
    for (;;) {
      std::string piece = co_await answer->read(Deadline);
      if (piece.empty())
        break;
    }
  } catch (const http::TransportError &) {
    // The guard has closed the connection: that is the caller's leaving.
    co_return id;
  }
  co_return id;
}

/// Time of the last note of a kind, by request or by server.
std::map<std::string, Milliseconds>
timesOf(const std::vector<WorkerNote> &history, std::string WorkerNote::*key,
        const std::string &what) {
  std::map<std::string, Milliseconds> out;
  for (const WorkerNote &it : history)
    if (it.What == what)
      out[it.*key] = it.Time;
  return out;
}

} // namespace

// The platform allows half a second from the caller's close to the end of the
// work.
TEST_CASE("work ends at the backend server when its caller has left",
          "[process]") {
  PlatformDeploymentOptions o;
  o.Daemons = 1;
  // Nothing is answered before the callers leave and the half second is over.
  o.WorkTime = Milliseconds(3'000);
  o.StepTime = Milliseconds(1'500);
  Scenario s(o);
  std::map<std::string, Milliseconds> left;
  std::vector<WorkerNote> history;
  s.play([&]() -> Awaitable<void> {
    for (const char *route :
         {OnceRoute, RepeatableRoute, ResumableRoute, StreamRoute}) {
      std::string id = co_await callAndLeave(s, route, Milliseconds(150));
      left[id] = toMilliseconds(WallClock::now().time_since_epoch());
    }
    co_await sleepFor(Milliseconds(700));
    history = s.history();
  });
  REQUIRE(left.size() == 4);
  auto cancelled = timesOf(history, &WorkerNote::Request, "cancelled");
  for (const auto &[id, at] : left) {
    INFO(id);
    REQUIRE(cancelled.contains(id));
    CHECK(cancelled[id] < at + Milliseconds(500));
  }
}

TEST_CASE("a daemon that stops ends in time and answers what it took",
          "[process]") {
  PlatformDeploymentOptions o;
  o.Daemons = 2;
  o.StepTime = Milliseconds(50);
  Scenario s(o);
  bool ended = false;
  Milliseconds took{0};
  s.play([&]() -> Awaitable<void> {
    DeployedDaemon &d = s.Deployment.Daemons[0];
    for (int i = 0; i < 3; ++i)
      for (const char *route :
           {OnceRoute, RepeatableRoute, ResumableRoute, StreamRoute})
        s.callUntilRefused(d, route);
    co_await sleepFor(Milliseconds(700));
    MonoTime start = MonoClock::now();
    d.Run->terminate();
    while (d.Run->running() && MonoClock::now() < start + 2 * StopGrace)
      co_await sleepFor(Milliseconds(10));
    ended = !d.Run->running();
    took = toMilliseconds(MonoClock::now() - start);
    while (s.Callers > 0 && MonoClock::now() < start + 2 * StopGrace)
      co_await sleepFor(Milliseconds(10));
  });
  CHECK(ended);
  CHECK(took < StopGrace);
  CHECK(s.Callers == 0);
  for (const CallResult &it : s.Calls) {
    INFO(it.Id << " on " << it.Route << ", status " << it.Status);
    // After the stop callers find no connection, or are told to go elsewhere.
    CHECK((it.End == CallEnd::Right || it.End == CallEnd::NotTaken ||
           it.End == CallEnd::Refused));
  }
}

// The platform allows 3 s from the acknowledged word of a server that leaves
// to the last request that reaches it.
TEST_CASE("a backend server that leaves gets no request afterwards",
          "[process]") {
  PlatformDeploymentOptions o;
  o.DrainTime = Milliseconds(4'500);
  Scenario s(o);
  std::vector<std::string> leaving;
  std::vector<WorkerNote> history;
  s.play([&]() -> Awaitable<void> {
    for (const DeployedDaemon &d : s.Deployment.Daemons)
      for (const char *route : {OnceRoute, RepeatableRoute, ResumableRoute})
        s.callUntilRefused(d, route);
    co_await sleepFor(Milliseconds(500));
    for (DeployedWorker &it : s.Deployment.Workers) {
      bool first = leaving.empty() && it.Service == "desk";
      bool decode = leaving.size() == 1 && it.Stage == "decode";
      if (!first && !decode)
        continue;
      leaving.push_back(it.Id);
      it.Run->terminate();
    }
    co_await sleepFor(Milliseconds(4'500));
    history = s.history();
  });
  REQUIRE(leaving.size() == 2);
  auto since = timesOf(history, &WorkerNote::Server, "draining");
  REQUIRE(since.size() == 2);
  std::map<std::string, int> runsBefore;
  for (const WorkerNote &it : history) {
    if (it.What != "run" || !since.contains(it.Server))
      continue;
    INFO(it.Request << " at " << it.Server);
    CHECK(it.Time < since[it.Server] + Milliseconds(3'000));
    runsBefore[it.Server] += it.Time < since[it.Server] ? 1 : 0;
  }
  for (const std::string &it : leaving)
    CHECK(runsBefore[it] > 0);
  for (const CallResult &it : s.Calls)
    CHECK(it.End == CallEnd::Right);
}
