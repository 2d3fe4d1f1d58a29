#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"
#include "StandIns/Platform/WorkerHistory.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <map>
#include <set>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

constexpr Milliseconds StartTime{20'000};
constexpr Milliseconds Deadline{4'000};
/// Rule LOST counts from this number of streams that are taken up.
constexpr unsigned MinTakenUp = 12;
/// The entries of servers that ended are gone after this time.
constexpr Milliseconds EntryLifetime{1'500};

/// Sums over the streams of one test.
struct Totals {
  unsigned TakenUp = 0;
  unsigned Continued = 0;
  unsigned Begins = 0;
  unsigned Begun = 0;
};

/// Begins streams while a test kills processes.
class StreamScenario {
public:
  explicit StreamScenario(PlatformDeploymentOptions o)
      : Folder(makeTemporaryFolder()), Deployment(Io, withDefaults(o)),
        Client(Io) {}

  /// Brings up the deployment, begins streams at the first daemons and runs the
  /// function while the streams are open.
  void run(size_t streams, size_t firstDaemons, size_t maxRequests,
           std::function<void()> disturb) {
    bool ready = false;
    spawn(Io, "case", [&]() -> Awaitable<void> {
      ready = co_await Deployment.bringUp(StartTime);
      if (ready) {
        beginStreams(streams, 0, firstDaemons, maxRequests);
        co_await sleepFor(Milliseconds(500));
        disturb();
        while (Open > 0)
          co_await sleepFor(Milliseconds(20));
      }
      Io.stop();
    });
    Io.run();
    INFO("folder " << Folder);
    REQUIRE(ready);
  }

  /// Begins streams at the given daemons in turn. A caller takes a stream up at
  /// the daemons that follow.
  void beginStreams(size_t streams, size_t from, size_t daemons,
                    size_t maxRequests) {
    size_t all = Deployment.Daemons.size();
    for (size_t i = 0; i < streams; ++i) {
      std::vector<http::Endpoint> tried;
      for (size_t k = 0; k < maxRequests; ++k)
        tried.push_back(
            Deployment.Daemons[(from + i % daemons + k) % all].HttpListen);
      ++Open;
      spawn(Io, "caller", [this, tried]() -> Awaitable<void> {
        Calls.push_back(
            co_await callStream(Client, tried, ResumableRoute, Deadline));
        --Open;
      });
    }
  }

  void killAllDaemons() {
    for (DeployedDaemon &it : Deployment.Daemons)
      it.ChildProcess->kill();
  }

  void startAllDaemons() {
    for (DeployedDaemon &it : Deployment.Daemons)
      Deployment.startDaemon(it);
  }

  /// Ends all engines and starts others of this version in their place.
  void replaceEngines(const std::string &version) {
    for (DeployedWorker &it : Deployment.Workers) {
      if (it.Stage.empty())
        continue;
      it.ChildProcess->kill();
      it.Version = version;
      Deployment.startWorker(it, false);
    }
  }

  void killFirstDaemons() {
    Deployment.Daemons[0].ChildProcess->kill();
    Deployment.Daemons[1].ChildProcess->kill();
  }

  std::vector<WorkerEvent> history() const {
    return readHistory(Deployment.historyFile());
  }

  Totals totals() const {
    Totals t;
    for (const CallResult &it : Calls) {
      t.TakenUp += it.TakeUps;
      t.Continued += it.ContinuedTakeUps;
      t.Begins += it.Begins;
      t.Begun += it.Versions.empty() ? 0 : 1;
    }
    std::cout << Calls.size() << " streams, " << t.Begun << " of " << t.Begins
              << " begun, " << t.Continued << " of " << t.TakenUp
              << " taken up went on, " << mixed() << " of two versions, folder "
              << Folder << "\n";
    return t;
  }

  size_t mixed() const {
    size_t n = 0;
    for (const CallResult &it : Calls)
      n += it.Versions.size() > 1 ? 1 : 0;
    return n;
  }

  void checkOneVersion() const {
    INFO("folder " << Folder);
    for (const CallResult &it : Calls) {
      INFO(it.Id << ", status " << it.Status << ", take-ups " << it.TakeUps);
      CHECK(it.Versions.size() <= 1);
      CHECK(it.Outcome != DaemonCallOutcome::Incorrect);
    }
  }

  IoContext Io{1};
  std::string Folder;
  PlatformDeployment Deployment;
  http::Client Client;
  std::vector<CallResult> Calls;
  size_t Open = 0;

private:
  PlatformDeploymentOptions withDefaults(PlatformDeploymentOptions o) const {
    o.Programs = SARDINEFORD_PROGRAMS;
    o.Folder = Folder;
    o.PrefillEngines = 2;
    o.PrefillVersions = o.DecodeVersions;
    o.DecodeEngines = 4;
    // The tests are about the streams that move, not about how many may.
    o.RetrySlack = 200;
    // Most streams are still open when the test kills processes.
    o.StepTime = Milliseconds(80);
    return o;
  }
};

PlatformDeploymentOptions oneVersion() {
  PlatformDeploymentOptions o;
  o.Daemons = 4;
  return o;
}

PlatformDeploymentOptions twoVersions(unsigned daemons) {
  PlatformDeploymentOptions o;
  o.Daemons = daemons;
  o.DecodeVersions = {"v1", "v1.1"};
  return o;
}

/// Returns the requests that ran at the killed engines and later at another.
std::set<std::string> movedRequests(const std::vector<WorkerEvent> &history,
                                    const std::set<std::string> &killed) {
  std::map<std::string, std::string> firstServer;
  std::set<std::string> out;
  for (const WorkerEvent &it : history) {
    if (it.Action != "run")
      continue;
    const std::string &first =
        firstServer.emplace(it.Request, it.Server).first->second;
    if (killed.contains(first) && it.Server != first)
      out.insert(it.Request);
  }
  return out;
}

} // namespace

TEST_CASE("a stream whose engine dies goes on only at the version that began "
          "it",
          "[process]") {
  // Each daemon's retry budget lets a few streams go on.
  StreamScenario s(twoVersions(6));
  std::set<std::string> killed;
  s.run(60, 6, 1, [&] {
    // The engine of each version with the most streams; one of each remains.
    std::map<std::string, size_t> streamsOf;
    for (const WorkerEvent &it : s.history())
      streamsOf[it.Server] += it.Action == "run" ? 1 : 0;
    std::map<std::string, DeployedWorker *> busiest;
    for (DeployedWorker &it : s.Deployment.Workers) {
      if (it.Stage != "decode")
        continue;
      DeployedWorker *&w = busiest[it.Version];
      if (w == nullptr || streamsOf[it.Id] > streamsOf[w->Id])
        w = &it;
    }
    for (auto &[version, w] : busiest) {
      killed.insert(w->Id);
      w->ChildProcess->kill();
    }
  });
  s.totals();
  std::set<std::string> moved = movedRequests(s.history(), killed);
  std::cout << moved.size() << " moved\n";
  CHECK(moved.size() >= 6);
  s.checkOneVersion();
  for (const CallResult &it : s.Calls) {
    INFO(it.Id << ", status " << it.Status);
    CHECK((!moved.contains(it.Id) || it.Outcome == DaemonCallOutcome::Correct));
  }
}

TEST_CASE("a stream that is taken up at another daemon goes on only at its "
          "version",
          "[process]") {
  StreamScenario s(twoVersions(3));
  s.run(60, 3, 4, [&] { s.Deployment.Daemons[0].ChildProcess->kill(); });
  CHECK(s.totals().Continued >= 3);
  s.checkOneVersion();
}

TEST_CASE("a stream that is taken up in a large fleet goes on only at its "
          "version",
          "[process]") {
  StreamScenario s(twoVersions(14));
  s.run(60, 4, 4, [&] { s.killFirstDaemons(); });
  CHECK(s.totals().Continued >= 3);
  s.checkOneVersion();
}

TEST_CASE("every stream that is taken up goes on if there is one version",
          "[process]") {
  StreamScenario s(oneVersion());
  s.run(60, 4, 4, [&] { s.killFirstDaemons(); });
  CHECK(s.totals().TakenUp >= MinTakenUp);
  s.checkOneVersion();
  for (const CallResult &it : s.Calls) {
    INFO(it.Id << ", status " << it.Status << ", take-ups " << it.TakeUps);
    CHECK((it.TakeUps == 0 || it.ContinuedTakeUps > 0));
  }
}

TEST_CASE("every stream is complete before its deadline if there is one "
          "version",
          "[process]") {
  StreamScenario s(oneVersion());
  s.run(60, 4, 4, [&] { s.killFirstDaemons(); });
  CHECK(s.totals().TakenUp >= MinTakenUp);
  for (const CallResult &it : s.Calls) {
    INFO(it.Id << ", status " << it.Status << ", take-ups " << it.TakeUps);
    CHECK(it.Outcome == DaemonCallOutcome::Correct);
  }
}

TEST_CASE("streams that are taken up go on at least half as often as new ones "
          "begin",
          "[process]") {
  StreamScenario s(twoVersions(4));
  s.run(60, 4, 4, [&] {
    s.killFirstDaemons();
    s.beginStreams(24, 2, 2, 4);
  });
  Totals t = s.totals();
  CHECK(t.TakenUp >= MinTakenUp);
  s.checkOneVersion();
  CHECK(2 * t.Continued * t.Begins >= t.Begun * t.TakenUp);
}

TEST_CASE("no stream goes on at another version after all daemons were killed "
          "and the servers of its version left",
          "[process]") {
  StreamScenario s(oneVersion());
  s.run(60, 4, 100, [&] {
    spawn(s.Io, "disturb", [&]() -> Awaitable<void> {
      s.killAllDaemons();
      s.replaceEngines("v1.1");
      co_await sleepFor(EntryLifetime);
      s.startAllDaemons();
    });
  });
  CHECK(s.totals().TakenUp >= MinTakenUp);
  s.checkOneVersion();
}

TEST_CASE("every stream that is taken up after all daemons were killed goes on "
          "if there is one version",
          "[process]") {
  StreamScenario s(oneVersion());
  s.run(60, 4, 100, [&] {
    s.killAllDaemons();
    s.startAllDaemons();
  });
  CHECK(s.totals().TakenUp >= MinTakenUp);
  s.checkOneVersion();
  for (const CallResult &it : s.Calls) {
    INFO(it.Id << ", status " << it.Status << ", take-ups " << it.TakeUps);
    CHECK((it.TakeUps == 0 || it.ContinuedTakeUps > 0));
  }
}

// Guards against streams that are rejected since an outage of the store makes
// all processes doubt their only version.
TEST_CASE("every stream that is taken up while the store is away goes on if "
          "there is one version",
          "[process]") {
  constexpr Milliseconds Outage{3'000};
  StreamScenario s(oneVersion());
  s.run(0, 0, 0, [&] {
    // Keeps the scenario running until the streams have begun.
    ++s.Open;
    spawn(s.Io, "disturb", [&]() -> Awaitable<void> {
      for (DeployedDaemon &it : s.Deployment.Daemons)
        it.StoreLink->setMode(LinkMode::Disconnect);
      co_await sleepFor(Outage);
      s.beginStreams(60, 0, 4, 4);
      co_await sleepFor(Milliseconds(500));
      s.killFirstDaemons();
      --s.Open;
    });
  });
  CHECK(s.totals().TakenUp >= MinTakenUp);
  s.checkOneVersion();
  for (const CallResult &it : s.Calls) {
    INFO(it.Id << ", status " << it.Status << ", take-ups " << it.TakeUps);
    CHECK((it.TakeUps == 0 || it.ContinuedTakeUps > 0));
  }
}
