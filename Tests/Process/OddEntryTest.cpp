#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"
#include "StandIns/Platform/WorkerHistory.h"

#include <catch2/catch.hpp>

#include <functional>
#include <set>
#include <vector>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

constexpr Milliseconds StartTime{30'000};
constexpr Milliseconds Deadline{3'000};
constexpr Milliseconds WriteInterval{60};
/// Mixes the kinds of odd entries that are there at a time.
constexpr size_t KindStep = 11;
constexpr Milliseconds ReplaceInterval{700};
constexpr Milliseconds CallInterval{10};
constexpr Milliseconds ReadyTime{8'000};
/// Bound of the platform for a change of the configuration.
constexpr Milliseconds ApplyTime{2'000};

class OddEntryCase {
public:
  OddEntryCase() : Deployment(Io, options()), Client(Io) {}

  void run(std::function<Awaitable<void>()> play) {
    bool ready = false;
    spawn(Io, "case", [&, play]() -> Awaitable<void> {
      ready = co_await Deployment.bringUp(StartTime);
      if (ready)
        co_await play();
      Io.stop();
    });
    Io.run();
    REQUIRE(ready);
  }

  /// Adds odd entries of all kinds, which expire again.
  Awaitable<void> addOddEntries() {
    for (size_t i = 0;; ++i) {
      co_await Deployment.writeOddEntry("a-" + std::to_string(i), i * KindStep);
      co_await sleepFor(WriteInterval);
    }
  }

  /// Replaces the entry of one server after the other, which writes it again.
  Awaitable<void> replaceEntries() {
    for (size_t i = 0;; ++i) {
      const auto &workers = Deployment.Workers;
      co_await Deployment.writeOddEntry(workers[i % workers.size()].Id, i);
      co_await sleepFor(ReplaceInterval);
    }
  }

  Awaitable<void> call(http::Endpoint daemon, std::string route) {
    CallResult r =
        co_await callDaemon(Client, daemon, std::move(route), Deadline);
    Results.push_back(std::move(r));
  }

  /// Sends requests on all routes to the daemons that are not stopped.
  Awaitable<void> send() {
    const std::vector<std::string> routes = {RepeatableRoute, ResumableRoute,
                                             OnceRoute, StreamRoute};
    for (size_t i = 0; IsSending; ++i) {
      size_t n = i % Deployment.Daemons.size();
      if (n != Stopped)
        spawn(Io, "call", [this, n, route = routes[i / 3 % routes.size()]] {
          return call(Deployment.Daemons[n].HttpListen, route);
        });
      co_await sleepFor(CallInterval);
    }
  }

  Awaitable<void> restart(size_t daemon) {
    Stopped = daemon;
    // The requests that it has are complete.
    co_await sleepFor(Deadline);
    Process &p = *Deployment.Daemons[daemon].ChildProcess;
    CHECK(p.running());
    p.terminate();
    while (p.running())
      co_await sleepFor(Milliseconds(20));
    Deployment.startDaemon(Deployment.Daemons[daemon]);
    CHECK(co_await Deployment.waitReady(ReadyTime));
    Stopped = None;
  }

  /// Returns the time until a daemon serves a route.
  Awaitable<Milliseconds> waitForRoute(const DeployedDaemon &d,
                                       std::string prefix) {
    MonoTime start = MonoClock::now();
    while (MonoClock::now() - start < Milliseconds(8'000)) {
      CallResult r =
          co_await callDaemon(Client, d.HttpListen, prefix, Deadline);
      if (r.Outcome == DaemonCallOutcome::Correct)
        break;
      co_await sleepFor(Milliseconds(20));
    }
    co_return toMilliseconds(MonoClock::now() - start);
  }

  Awaitable<void> finish() {
    IsSending = false;
    co_await sleepFor(Deadline);
    for (const DeployedDaemon &it : Deployment.Daemons)
      CHECK(it.ChildProcess->running());
  }

  void checkResults() const {
    size_t correct = 0;
    for (const CallResult &it : Results) {
      bool isCorrect = it.Outcome == DaemonCallOutcome::Correct;
      correct += isCorrect ? 1 : 0;
      if (!isCorrect)
        UNSCOPED_INFO(it.Id << " on " << it.Route << " status " << it.Status);
    }
    CHECK(!Results.empty());
    CHECK(correct == Results.size());
  }

  /// Returns how many servers got a request within this time of the end.
  size_t serversInUse(Milliseconds time) const {
    std::vector<WorkerEvent> history = readHistory(Deployment.historyFile());
    std::set<std::string> out;
    for (const WorkerEvent &it : history)
      if (it.Action == "arrival" && it.Time > history.back().Time - time)
        out.insert(it.Server);
    return out.size();
  }

  static constexpr size_t None = SIZE_MAX;

  IoContext Io{1};
  PlatformDeployment Deployment;
  http::Client Client;
  std::vector<CallResult> Results;
  size_t Stopped = None;
  bool IsSending = true;

private:
  static PlatformDeploymentOptions options() {
    PlatformDeploymentOptions o;
    o.Programs = SARDINEFORD_PROGRAMS;
    o.Folder = makeTemporaryFolder();
    return o;
  }
};

} // namespace

TEST_CASE("daemons start and serve while odd entries come and go",
          "[process]") {
  OddEntryCase c;
  std::vector<Milliseconds> delays;
  std::string added;
  c.run([&]() -> Awaitable<void> {
    spawn(c.Io, "write", [&] { return c.addOddEntries(); });
    spawn(c.Io, "send", [&] { return c.send(); });
    for (size_t i = 0; i < c.Deployment.Daemons.size(); ++i)
      co_await c.restart(i);
    co_await c.Deployment.writeConfiguration(1);
    for (const DeployedDaemon &it : c.Deployment.Daemons)
      delays.push_back(co_await c.waitForRoute(it, extraRoute(0)));
    // A server leaves, and a new one is used.
    DeployedWorker &w = c.Deployment.Workers.front();
    w.ChildProcess->terminate();
    while (w.ChildProcess->running())
      co_await sleepFor(Milliseconds(20));
    c.Deployment.startWorker(w, false);
    added = w.Id;
    co_await sleepFor(Milliseconds(2'000));
    co_await c.finish();
  });
  c.checkResults();
  for (Milliseconds it : delays)
    CHECK(it <= ApplyTime);
  size_t runs = 0;
  for (const WorkerEvent &it : readHistory(c.Deployment.historyFile()))
    runs += it.Server == added && it.Action == "run" ? 1 : 0;
  CHECK(runs > 0);
}

TEST_CASE("servers whose entries turn odd for a time lose no request and are "
          "used again",
          "[process]") {
  OddEntryCase c;
  c.run([&]() -> Awaitable<void> {
    spawn(c.Io, "replace", [&] { return c.replaceEntries(); });
    spawn(c.Io, "send", [&] { return c.send(); });
    co_await sleepFor(Milliseconds(8'000));
    co_await c.finish();
  });
  c.checkResults();
  CHECK(c.serversInUse(Milliseconds(5'000)) == c.Deployment.Workers.size());
}
