#include "Sardineford/Common/Random.h"
#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"
#include "StandIns/Platform/WorkerHistory.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <set>
#include <vector>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

constexpr Milliseconds StartTime{20'000};
constexpr Milliseconds Deadline{2'000};
constexpr Milliseconds CallPause{60};
/// Times from the begin of the load.
constexpr Milliseconds CutAt{2'000};
constexpr Milliseconds HealedAt{9'000};
constexpr Milliseconds EndAt{14'000};
/// Time after which the platform demands that a change has been dealt with.
constexpr Milliseconds StabilityWindow{3'000};

constexpr std::array<const char *, 4> Routes = {OnceRoute, RepeatableRoute,
                                                ResumableRoute, StreamRoute};

/// How the links of a daemon to all backend servers fail.
enum class Cut {
  /// Open connections are closed and new ones are refused.
  Refused,
  /// Nothing arrives.
  Silent,
  /// Connections are closed as soon as they are accepted.
  Reset,
  /// New connections are refused, open ones live on.
  NewRefused,
};

struct TimedCall {
  size_t Daemon;
  Milliseconds At;
  CallResult Result;
};

/// Cuts the first daemons off from all backend servers for a while.
class PartitionCase {
public:
  PartitionCase(Cut cut, size_t numCut, Milliseconds step = Milliseconds(4))
      : Kind(cut), NumCut(numCut), Deployment(Io, options(step)) {}

  /// Cuts the links and heals them. `whileCut` starts when the platform demands
  /// that the cut has been dealt with.
  void run(const std::function<Awaitable<void>()> &whileCut = {}) {
    bool ready = false;
    spawn(Io, "case", [&]() -> Awaitable<void> {
      ready = co_await Deployment.bringUp(StartTime);
      Start = MonoClock::now();
      for (size_t i = 0; ready && i < Deployment.Daemons.size(); ++i)
        for (const char *it : Routes)
          spawn(Io, "caller", [this, i, it] { return callAll(i, it); });
      if (ready) {
        co_await sleepFor(CutAt);
        setLinks(true);
        co_await sleepFor(StabilityWindow);
        if (whileCut)
          spawn(Io, "while-cut", whileCut);
        co_await sleepFor(HealedAt - CutAt - StabilityWindow);
        setLinks(false);
        co_await sleepFor(EndAt - HealedAt + Deadline);
      }
      Io.stop();
    });
    Io.run();
    REQUIRE(ready);
  }

  /// Calls that daemons received in a time, and how many of them were served.
  struct Share {
    size_t Calls = 0;
    size_t Served = 0;
    double ratio() const {
      return static_cast<double>(Served) / static_cast<double>(Calls);
    }
  };

  Share countCalls(const std::set<size_t> &daemons, Milliseconds from,
                   Milliseconds until) const {
    Share out;
    for (const TimedCall &it : Calls) {
      if (!daemons.contains(it.Daemon) || it.At < from || it.At >= until)
        continue;
      ++out.Calls;
      out.Served += it.Result.Outcome == DaemonCallOutcome::Correct ? 1 : 0;
    }
    return out;
  }

  /// Checks the bounds of the platform. `undisturbed` are daemons that are
  /// neither cut off nor restarted.
  void check(const std::set<size_t> &undisturbed) const {
    std::set<size_t> cutDaemons;
    for (size_t i = 0; i < NumCut; ++i)
      cutDaemons.insert(i);
    Share cut = countCalls(cutDaemons, CutAt + StabilityWindow, HealedAt);
    Share others = countCalls(undisturbed, CutAt + StabilityWindow, HealedAt);
    INFO("served while cut off: " << cut.Served << " of " << cut.Calls
                                  << ", at the others " << others.Served
                                  << " of " << others.Calls);
    CHECK(cut.ratio() >= others.ratio() * 2 / 3);
    CHECK(others.ratio() >= 0.9);
    Share healed = countCalls(cutDaemons, HealedAt + StabilityWindow, EndAt);
    INFO("served after the cut: " << healed.Served << " of " << healed.Calls);
    CHECK(healed.ratio() >= 0.95);
    checkPromises();
  }

  /// Counts calls that were sent later than the cut had to be dealt with.
  size_t countOutcomes(size_t daemon, DaemonCallOutcome outcome) const {
    return static_cast<size_t>(
        std::count_if(Calls.begin(), Calls.end(), [&](const TimedCall &it) {
          return it.Daemon == daemon && it.At >= CutAt + StabilityWindow &&
                 it.Result.Outcome == outcome;
        }));
  }

  /// A request that may run once has one run at most, and none if it was
  /// rejected.
  void checkPromises() const {
    std::map<std::string, size_t> runs;
    for (const WorkerEvent &it : readHistory(Deployment.historyFile()))
      if (it.Action == "run")
        ++runs[it.Request];
    size_t repeated = 0;
    size_t rejectedAndRun = 0;
    for (const TimedCall &it : Calls) {
      auto found = runs.find(it.Result.Id);
      size_t n = found == runs.end() ? 0 : found->second;
      bool mayRunOnce =
          it.Result.Route == OnceRoute || it.Result.Route == StreamRoute;
      repeated += mayRunOnce && n > 1 ? 1 : 0;
      rejectedAndRun +=
          it.Result.Outcome == DaemonCallOutcome::Rejected && n > 0 ? 1 : 0;
    }
    CHECK(repeated == 0);
    CHECK(rejectedAndRun == 0);
  }

  Cut Kind;
  size_t NumCut;
  IoContext Io{1};
  PlatformDeployment Deployment;
  http::Client Client{Io};
  MonoTime Start{};

private:
  static PlatformDeploymentOptions options(Milliseconds step) {
    PlatformDeploymentOptions o;
    o.Programs = SARDINEFORD_PROGRAMS;
    o.Folder = makeTemporaryFolder();
    o.Daemons = 3;
    o.SeparateLinks = true;
    o.StepTime = step;
    return o;
  }

  void setLinks(bool isCut) {
    for (size_t i = 0; i < NumCut; ++i)
      for (const std::unique_ptr<Relay> &it : Deployment.Daemons[i].Links) {
        it->setMode(!isCut                ? LinkMode::Forward
                    : Kind == Cut::Silent ? LinkMode::Blackhole
                    : Kind == Cut::Reset  ? LinkMode::Disconnect
                                          : LinkMode::RefuseNew);
        bool closes = isCut ? Kind == Cut::Refused : Kind == Cut::Silent;
        if (closes)
          it->closeOpenConnections();
      }
  }

  Awaitable<void> callAll(size_t daemon, std::string route) {
    while (MonoClock::now() < Start + EndAt) {
      spawn(Io, "call", [this, daemon, route]() -> Awaitable<void> {
        Milliseconds at = toMilliseconds(MonoClock::now() - Start);
        CallResult r = co_await callDaemon(
            Client, Deployment.Daemons[daemon].HttpListen, route, Deadline);
        Calls.push_back({daemon, at, std::move(r)});
      });
      co_await sleepFor(CallPause);
    }
  }

  std::vector<TimedCall> Calls;
};

} // namespace

TEST_CASE("callers of a daemon that is cut off from all servers are served "
          "through its peers",
          "[process]") {
  for (Cut cut : {Cut::Refused, Cut::Silent, Cut::Reset, Cut::NewRefused}) {
    INFO("cut " << static_cast<int>(cut));
    PartitionCase c(cut, 1);
    c.run();
    c.check({1, 2});
  }
}

TEST_CASE("the only daemon that reaches the servers serves callers of all",
          "[process]") {
  PartitionCase c(Cut::Silent, 2);
  c.run();
  c.check({2});
}

TEST_CASE("requests that were passed on are not lost when the peer stops",
          "[process]") {
  PartitionCase c(Cut::Refused, 1, Milliseconds(20));
  c.run([&]() -> Awaitable<void> {
    DeployedDaemon &peer = c.Deployment.Daemons[1];
    peer.ChildProcess->terminate();
    while (peer.ChildProcess->running())
      co_await sleepFor(Milliseconds(20));
    c.Deployment.startDaemon(peer);
  });
  c.check({2});
  CHECK(c.countOutcomes(0, DaemonCallOutcome::Failed) == 0);
  CHECK(c.countOutcomes(0, DaemonCallOutcome::Disconnected) == 0);
}

// Guards against forwarding the begin of a response as a complete one.
TEST_CASE("a response that breaks off since its peer dies is not complete",
          "[process]") {
  PartitionCase c(Cut::Refused, 1, Milliseconds(20));
  c.run([&]() -> Awaitable<void> {
    for (size_t i = 1; i < c.Deployment.Daemons.size(); ++i) {
      c.Deployment.Daemons[i].ChildProcess->kill();
      co_await sleepFor(Milliseconds(200));
      c.Deployment.startDaemon(c.Deployment.Daemons[i]);
    }
  });
  CHECK(c.countOutcomes(0, DaemonCallOutcome::Incorrect) == 0);
  // The deaths have broken off responses.
  CHECK(c.countOutcomes(0, DaemonCallOutcome::Disconnected) +
            c.countOutcomes(0, DaemonCallOutcome::Failed) >
        0);
  c.checkPromises();
}

TEST_CASE("a caller that leaves ends its request behind a peer", "[process]") {
  constexpr size_t NumStreams = 20;
  constexpr Milliseconds LeavesAfter{250};
  /// Time in which the platform demands that servers stop.
  constexpr Milliseconds CancelTime{500};
  PartitionCase c(Cut::Refused, 1, Milliseconds(80));
  std::map<std::string, Milliseconds> leftAt;
  c.run([&]() -> Awaitable<void> {
    MonoTime end = c.Start + HealedAt - LeavesAfter;
    for (size_t i = 0; i < NumStreams && MonoClock::now() < end; ++i) {
      std::string id = makeId();
      http::CallOptions options;
      options.Abort = std::make_shared<http::AbortHandle>();
      std::unique_ptr<http::ResponseStream> response =
          co_await c.Client.send(c.Deployment.Daemons[0].HttpListen,
                                 makeCall(id, StreamRoute, Deadline), options);
      co_await sleepFor(LeavesAfter);
      response->close();
      leftAt[id] = std::chrono::duration_cast<Milliseconds>(
          WallClock::now().time_since_epoch());
    }
  });
  REQUIRE(leftAt.size() >= NumStreams / 2);
  size_t cancelled = 0;
  size_t atWork = 0;
  std::map<std::string, std::string> last;
  for (const WorkerEvent &it : readHistory(c.Deployment.historyFile())) {
    auto left = leftAt.find(it.Request);
    if (left != leftAt.end() && it.Time <= left->second + CancelTime)
      last[it.Request] = it.Action;
  }
  for (const auto &[id, action] : last) {
    cancelled += action == "cancelled" ? 1 : 0;
    atWork += action == "run" ? 1 : 0;
  }
  INFO(last.size() << " streams reached an engine, " << cancelled
                   << " cancelled, " << atWork << " still at work");
  CHECK(cancelled > 0);
  CHECK(atWork == 0);
}

TEST_CASE("nothing changes for callers when all servers are silent for a "
          "second",
          "[process]") {
  PartitionCase c(Cut::Silent, 0);
  c.run([&]() -> Awaitable<void> {
    for (DeployedWorker &it : c.Deployment.Workers)
      it.ChildProcess->pause();
    co_await sleepFor(Milliseconds(1'000));
    for (DeployedWorker &it : c.Deployment.Workers)
      it.ChildProcess->resume();
  });
  PartitionCase::Share during = c.countCalls({0, 1, 2}, CutAt + StabilityWindow,
                                             CutAt + StabilityWindow * 2);
  PartitionCase::Share after = c.countCalls({0, 1, 2}, HealedAt, EndAt);
  INFO("served: " << during.Served << " of " << during.Calls << ", then "
                  << after.Served << " of " << after.Calls);
  CHECK(during.ratio() >= 0.9);
  CHECK(after.ratio() >= 0.98);
  c.checkPromises();
}
