#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"
#include "StandIns/Platform/WorkerHistory.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <vector>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

constexpr Milliseconds StartTime{20'000};
constexpr Milliseconds Deadline{3'000};
/// Time from the start of the servers until they say that they leave, or reject
/// all requests.
constexpr Milliseconds NoticeAfter{7'000};
/// Each daemon has had a response of each server this long after that.
constexpr Milliseconds HeardBy{1'000};
/// Bounds of the platform: time after a server's notice until it may get no
/// request, time from a rejection until the server must be left alone, and
/// requests that may reach it from each process until the time it asked for has
/// passed.
constexpr Milliseconds DrainTime{2'000};
constexpr Milliseconds RejectionNoticeTime{500};
constexpr size_t AllowedWhileClosed = 2;
constexpr unsigned Daemons = 3;

constexpr std::array<const char *, 3> Routes = {OnceRoute, RepeatableRoute,
                                                ResumableRoute};

/// Loads all routes of a deployment of which one plain server and the last
/// engines have additional flags.
class NoticeCase {
public:
  NoticeCase(std::vector<std::string> flags, size_t engines,
             Milliseconds workTime = Milliseconds(10))
      : Deployment(Io, options(workTime)), Client(Io), NumEngines(engines) {
    for (DeployedWorker *it : noticed())
      it->Flags = flags;
  }

  DeployedWorker &plainServer() { return Deployment.Workers.front(); }
  std::vector<DeployedWorker *> engines() {
    std::vector<DeployedWorker *> out;
    size_t n = Deployment.Workers.size();
    for (size_t i = n - NumEngines; i < n; ++i)
      out.push_back(&Deployment.Workers[i]);
    return out;
  }
  std::vector<DeployedWorker *> noticed() {
    std::vector<DeployedWorker *> out = engines();
    out.push_back(&plainServer());
    return out;
  }

  void run(Milliseconds length, std::function<void()> atTwoThirds = {}) {
    Start = std::chrono::duration_cast<Milliseconds>(
        WallClock::now().time_since_epoch());
    bool ready = false;
    spawn(Io, "case", [&]() -> Awaitable<void> {
      ready = co_await Deployment.bringUp(StartTime);
      MonoTime begin = MonoClock::now();
      for (unsigned i = 0; ready && MonoClock::now() < begin + length; ++i) {
        call(i);
        if (atTwoThirds && MonoClock::now() > begin + length * 2 / 3)
          std::exchange(atTwoThirds, {})();
        co_await sleepFor(Milliseconds(15));
      }
      co_await sleepFor(Deadline);
      for (const DeployedDaemon &it : Deployment.Daemons) {
        http::Request r;
        r.Target = "/metrics";
        Metrics.push_back((co_await Client.call(it.Metrics, r)).Body);
      }
      Io.stop();
    });
    Io.run();
    REQUIRE(ready);
    History = readHistory(Deployment.historyFile());
  }

  size_t arrivals(const std::string &server, Milliseconds from,
                  Milliseconds to) const {
    return static_cast<size_t>(std::count_if(
        History.begin(), History.end(), [&](const WorkerEvent &it) {
          return it.Action == "arrival" && it.Server == server &&
                 it.Time - Start >= from && it.Time - Start < to;
        }));
  }

  /// Returns the arrivals at all of some servers. Which engine is preferred
  /// depends on its id.
  size_t arrivals(const std::vector<DeployedWorker *> &servers,
                  Milliseconds from, Milliseconds to) const {
    size_t n = 0;
    for (const DeployedWorker *it : servers)
      n += arrivals(it->Id, from, to);
    return n;
  }

  double correctRatio() const {
    auto n = std::count_if(Calls.begin(), Calls.end(), [](const auto &it) {
      return it.Outcome == DaemonCallOutcome::Correct;
    });
    return static_cast<double>(n) / static_cast<double>(Calls.size());
  }

  IoContext Io{1};
  PlatformDeployment Deployment;
  /// Metrics of the daemons at the end.
  std::vector<std::string> Metrics;

private:
  static PlatformDeploymentOptions options(Milliseconds workTime) {
    PlatformDeploymentOptions o;
    o.Programs = SARDINEFORD_PROGRAMS;
    o.Folder = makeTemporaryFolder();
    o.Daemons = Daemons;
    o.RetrySlack = 100;
    o.WorkTime = workTime;
    return o;
  }

  void call(unsigned i) {
    http::Endpoint daemon = Deployment.Daemons[i % Daemons].HttpListen;
    std::string route = Routes[i / Daemons % Routes.size()];
    spawn(Io, "call", [this, daemon, route]() -> Awaitable<void> {
      Calls.push_back(co_await callDaemon(Client, daemon, route, Deadline));
    });
  }

  http::Client Client;
  size_t NumEngines;
  std::vector<CallResult> Calls;
  std::vector<WorkerEvent> History;
  Milliseconds Start{0};
};

} // namespace

TEST_CASE("a server that says in its responses that it leaves gets no further "
          "requests",
          "[process]") {
  NoticeCase c({"--leaves_after_ms=" + std::to_string(NoticeAfter.count())}, 2);
  c.run(Milliseconds(10'000));
  CHECK(c.arrivals({&c.plainServer()}, Milliseconds(0), NoticeAfter) > 0);
  CHECK(c.arrivals(c.engines(), Milliseconds(0), NoticeAfter) > 0);
  for (const DeployedWorker *it : c.noticed()) {
    INFO(it->Service);
    CHECK(c.arrivals(it->Id, NoticeAfter + HeardBy + DrainTime,
                     Milliseconds::max()) == 0);
  }
  CHECK(c.correctRatio() >= 0.99);
}

TEST_CASE("a server that asks for time in its rejections is left alone for it",
          "[process]") {
  constexpr Milliseconds Length{6'000};
  NoticeCase c({"--retry_after=6",
                "--reject_from_ms=" + std::to_string(NoticeAfter.count()),
                "--reject_ms=" + std::to_string(Length.count())},
               1);
  c.run(Milliseconds(18'000));
  for (const DeployedWorker *it : c.noticed()) {
    INFO(it->Service);
    CHECK(c.arrivals(it->Id, NoticeAfter + HeardBy + RejectionNoticeTime,
                     NoticeAfter + Length) <= AllowedWhileClosed * Daemons);
  }
  // The servers may be used again; engines are if the others do not suffice.
  CHECK(c.arrivals({&c.plainServer()}, NoticeAfter + Length + HeardBy,
                   Milliseconds::max()) > 0);
  REQUIRE(c.Metrics.size() == Daemons);
  for (const std::string &it : c.Metrics) {
    CHECK(it.find("sardineford_servers{") != std::string::npos);
    CHECK(it.find("state=\"closed\"") == std::string::npos);
  }
  CHECK(c.correctRatio() >= 0.99);
}

TEST_CASE("a server that left is used again after a start under the same id",
          "[process]") {
  NoticeCase c({"--leaves_after_ms=" + std::to_string(NoticeAfter.count())}, 1);
  Milliseconds restartedAt{0};
  MonoTime begin = MonoClock::now();
  DeployedWorker &server = c.plainServer();
  c.run(Milliseconds(12'000), [&] {
    server.ChildProcess->kill();
    server.Flags.clear();
    c.Deployment.startWorker(server, true);
    restartedAt = toMilliseconds(MonoClock::now() - begin);
  });
  CHECK(c.arrivals(server.Id, restartedAt, Milliseconds::max()) > 0);
}

TEST_CASE("a server that says it leaves while its entry is missing is not used "
          "when the entry returns",
          "[process]") {
  // Requests of the time before the entry is missing are answered after the
  // notice.
  constexpr Milliseconds WorkTime{1'600};
  constexpr Milliseconds EntryReturns{12'000};
  NoticeCase c({"--leaves_after_ms=" + std::to_string(NoticeAfter.count()),
                "--no_heartbeat_from_ms=4800", "--no_heartbeat_ms=7200"},
               0, WorkTime);
  c.run(Milliseconds(14'000));
  const std::string &server = c.plainServer().Id;
  CHECK(c.arrivals(server, Milliseconds(0), NoticeAfter) > 0);
  CHECK(c.arrivals(server, NoticeAfter + HeardBy + DrainTime,
                   Milliseconds::max()) == 0);
  CHECK(c.arrivals(c.Deployment.Workers[1].Id, EntryReturns,
                   Milliseconds::max()) > 0);
}
