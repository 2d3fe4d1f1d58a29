#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"
#include "StandIns/Platform/WorkerHistory.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <vector>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

constexpr Milliseconds StartTime{20'000};
constexpr Milliseconds Deadline{3'000};
/// Bounds of the platform: time until all daemons act on a crashing part, and
/// requests with it that may reach backend servers after that.
constexpr Milliseconds StabilityWindow{3'000};
constexpr unsigned AllowedRequests = 3;

/// What crashes backend servers beside sound requests.
struct CrashCause {
  const char *SoundRoute = ResumableRoute;
  const char *CrashingRoute = ResumableRoute;
  const char *CrashingPart = "c0ffee";
  /// Shares its first part with the sound prompt.
  const char *CrashingPrompt = "a1:500,c0ffee:300";
  const char *CrashingPath = "";
  unsigned CrashesUntilBound = 5;
  Milliseconds StepTime{40};
};

constexpr const char *SoundPrompt = "a1:500,beef:300";

struct CrashRun {
  std::vector<CallResult> Sound;
  /// Results of the requests that were sent later than a stability window after
  /// the fifth crash, or the last if there are fewer.
  std::vector<CallResult> LateSound;
  std::vector<CallResult> LateCrashing;
  std::set<std::string> CrashingIds;
  std::vector<WorkerEvent> History;
};

class CrashCase {
public:
  explicit CrashCase(const CrashCause &cause)
      : Cause(cause), Deployment(Io, options(cause)), Client(Io) {}

  CrashRun run(Milliseconds length) {
    spawn(Io, "case", [this, length] { return play(length); });
    Io.run();
    REQUIRE(Ready);
    Out.History = readHistory(Deployment.historyFile());
    return std::move(Out);
  }

private:
  static PlatformDeploymentOptions options(const CrashCause &cause) {
    PlatformDeploymentOptions o;
    o.Programs = SARDINEFORD_PROGRAMS;
    o.Folder = makeTemporaryFolder();
    o.Daemons = 3;
    o.DecodeEngines = 6;
    o.PlainServers = 3;
    o.StepTime = cause.StepTime;
    o.RetrySlack = 200;
    o.CrashingPart = cause.CrashingPart;
    o.CrashingPath = cause.CrashingPath;
    return o;
  }

  Awaitable<void> play(Milliseconds length) {
    Ready = co_await Deployment.bringUp(StartTime);
    if (Ready) {
      spawn(Io, "restart", [this] { return restartWorkers(); });
      MonoTime end = MonoClock::now() + length;
      for (unsigned i = 0; MonoClock::now() < end; ++i) {
        call(i, true);
        // Begins when the sound requests have been served for a while.
        if (i >= 20 && i % 4 == 0)
          call(i / 4, false);
        co_await sleepFor(Milliseconds(50));
      }
      co_await sleepFor(Deadline);
    }
    Io.stop();
  }

  void call(unsigned i, bool isSound) {
    http::Endpoint daemon =
        Deployment.Daemons[i % Deployment.Daemons.size()].HttpListen;
    bool isLate =
        Crashes > 0 && MonoClock::now() - LastCounted > StabilityWindow;
    std::string route = isSound ? Cause.SoundRoute : Cause.CrashingRoute;
    std::string prompt = isSound ? SoundPrompt : Cause.CrashingPrompt;
    spawn(Io, "call",
          [this, daemon, isLate, isSound, route, prompt]() -> Awaitable<void> {
            CallResult r =
                co_await callDaemon(Client, daemon, route, Deadline, prompt);
            if (isLate)
              (isSound ? Out.LateSound : Out.LateCrashing).push_back(r);
            if (isSound)
              Out.Sound.push_back(r);
            else
              Out.CrashingIds.insert(r.Id);
          });
  }

  /// Starts each engine again a second after its crash.
  Awaitable<void> restartWorkers() {
    for (;;) {
      for (DeployedWorker &it : Deployment.Workers) {
        if (it.ChildProcess->running() || Restarting.contains(&it))
          continue;
        if (++Crashes <= Cause.CrashesUntilBound)
          LastCounted = MonoClock::now();
        Restarting.insert(&it);
        spawn(Io, "start", [this, &it]() -> Awaitable<void> {
          co_await sleepFor(Milliseconds(1'000));
          Deployment.startWorker(it, false);
          Restarting.erase(&it);
        });
      }
      co_await sleepFor(Milliseconds(10));
    }
  }

  CrashCause Cause;
  IoContext Io{1};
  PlatformDeployment Deployment;
  http::Client Client;
  CrashRun Out;
  bool Ready = false;
  unsigned Crashes = 0;
  MonoTime LastCounted{};
  std::set<DeployedWorker *> Restarting;
};

/// Returns the crashing requests that reached a backend server later than a
/// stability window after the last crash that counts.
unsigned countLateArrivals(const CrashRun &run, unsigned crashesUntilBound) {
  unsigned crashes = 0;
  Milliseconds end = Milliseconds::max();
  unsigned out = 0;
  for (const WorkerEvent &it : run.History) {
    if (it.Action == "crash" && ++crashes == crashesUntilBound)
      end = it.Time + StabilityWindow;
    bool isArrival = it.Action == "run" || it.Action == "prefill";
    if (isArrival && it.Time > end && run.CrashingIds.contains(it.Request))
      ++out;
  }
  return out;
}

size_t countCorrect(const std::vector<CallResult> &calls) {
  return static_cast<size_t>(
      std::count_if(calls.begin(), calls.end(), [](const CallResult &it) {
        return it.Outcome == DaemonCallOutcome::Correct;
      }));
}

void checkThatCauseIsStopped(const CrashCause &cause) {
  CrashRun run = CrashCase(cause).run(Milliseconds(12'000));
  auto crashes =
      std::count_if(run.History.begin(), run.History.end(),
                    [](const auto &it) { return it.Action == "crash"; });
  INFO(crashes << " crashes, " << run.CrashingIds.size() << " requests");
  CHECK(countLateArrivals(run, cause.CrashesUntilBound) <= AllowedRequests);
  for (const CallResult &it : run.LateCrashing) {
    INFO(it.Id << ", status " << it.Status << " after " << it.Elapsed.count()
               << " ms");
    CHECK(it.Outcome == DaemonCallOutcome::Rejected);
  }
  CHECK(!run.LateCrashing.empty());
  CHECK(countCorrect(run.LateSound) * 2 >= run.LateSound.size());
  CHECK(countCorrect(run.Sound) * 2 >= run.Sound.size());
}

} // namespace

TEST_CASE("requests that crash one engine after another are stopped by all "
          "daemons",
          "[process]") {
  checkThatCauseIsStopped({});
}

TEST_CASE("answers that end before their engine crashes do not count as sound",
          "[process]") {
  CrashCause cause;
  cause.StepTime = Milliseconds(2);
  checkThatCauseIsStopped(cause);
}

TEST_CASE("a request that crashes each plain server is not repeated for long",
          "[process]") {
  CrashCause cause;
  cause.SoundRoute = RepeatableRoute;
  cause.CrashingRoute = "/status/x";
  cause.CrashingPart = "";
  cause.CrashingPath = "/status/x1";
  cause.CrashesUntilBound = 3;
  checkThatCauseIsStopped(cause);
}

TEST_CASE("a request that crashes each engine that prefills it is not repeated "
          "for long",
          "[process]") {
  CrashCause cause;
  cause.CrashingRoute = "/draft/x";
  cause.CrashingPrompt = SoundPrompt;
  cause.CrashingPart = "";
  cause.CrashingPath = "/draft/x1";
  cause.CrashesUntilBound = 3;
  checkThatCauseIsStopped(cause);
}
