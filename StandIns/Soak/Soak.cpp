#include "StandIns/Soak/Soak.h"

#include "Sardineford/Common/Log.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"
#include "StandIns/Platform/PlatformWorker.h"
#include "StandIns/Soak/SoakChecks.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace sardineford::standins {

namespace {

constexpr Milliseconds StartTimeout{10'000};
/// Time from the end of the last fault until the deployment must serve again.
constexpr Milliseconds RecoveryTime{6'000};
/// Time after the recovery for which the ratio of correct responses is checked.
constexpr Milliseconds ObservationTime{2'000};
constexpr Milliseconds CallerPause{30};
constexpr Milliseconds CallDeadline{3'000};
/// Maximum number of requests of a caller for one stream.
constexpr size_t MaxRequests = 4;
/// Covers the grace time in the settings of the daemons and the exit of the
/// process.
constexpr int StopTimeoutMs = 7'500;

/// Hazards: the prompt that crashes engines, how often it comes and when an
/// engine is back, and the limit of one engine.
constexpr const char *CrashingPart = "c0ffee";
constexpr const char *CrashingPrompt = "91bd:300,c0ffee:300";
/// A request that crashes plain servers, and what comes before its path.
constexpr const char *CrashingPath = "/status/x1";
constexpr const char *CrashingRoute = "/status/x";
constexpr Milliseconds CrashingPause{300};
constexpr Milliseconds OddEntryPause{60};
constexpr Milliseconds EndlessTime{300};
constexpr Milliseconds EndlessPause{900};
constexpr Milliseconds RestartDelay{1'000};
constexpr NamedLimit EngineLimit{3, Milliseconds(2'000), Milliseconds(600'000)};
/// Bounds of the platform for both.
constexpr Milliseconds StabilityWindow{3'000};
constexpr size_t AllowedCrashingRequests = 3;
constexpr double AllowedLimitRatio = 1.5;
constexpr double AllowedLimitExtra = 5;

Milliseconds wallTime() {
  return std::chrono::duration_cast<Milliseconds>(
      WallClock::now().time_since_epoch());
}

const std::array<const char *, 4> Routes = {OnceRoute, RepeatableRoute,
                                            ResumableRoute, StreamRoute};

std::string_view toString(DaemonCallOutcome e) {
  constexpr std::array<std::string_view, 7> Names = {
      "correct",     "wrong",  "events of two versions",
      "rejected",    "failed", "disconnected",
      "not accepted"};
  return Names[static_cast<size_t>(e)];
}

/// Runs one soak on a single thread.
class Soak {
public:
  explicit Soak(const SoakOptions &o)
      : Options(o), Random(o.Seed),
        Deployment(
            Io, {.Programs = o.Programs,
                 .Folder = o.Folder,
                 .Daemons = o.Daemons,
                 .DecodeEngines = 4,
                 .DecodeVersions = {SoftwareVersions[0], SoftwareVersions[1]},
                 // Streams last long enough to be hit by faults.
                 .StepTime = Milliseconds(20),
                 .CrashingPart = o.Hazards ? CrashingPart : "",
                 .CrashingPath = o.Hazards ? CrashingPath : "",
                 .Limit = o.Hazards ? EngineLimit : NamedLimit{},
                 .SeparateLinks = cutsDaemons(o)}) {
    if (o.RepeatsRejections)
      repeatRejections();
  }

  SoakReport run() {
    spawn(Io, "soak", [this] { return runScenario(); });
    Io.run();
    if (!IsComplete)
      Report.Violations.push_back("the run ended early, see the log");
    for (const std::vector<CallResult> *calls :
         {&Calls, &CrashingCalls, &CrashingRepeats})
      for (const std::string &it :
           checkInvariants(*calls, Deployment.historyFile()))
        Report.Violations.push_back(it);
    if (Options.Hazards)
      checkHazards();
    if (Options.PlannedOnly)
      for (const std::string &it : checkCompleteness(Calls))
        Report.Violations.push_back(it);
    for (const CallResult &it : Calls)
      ++Report.Outcomes[std::string(toString(it.Outcome))];
    return Report;
  }

private:
  static bool cutsDaemons(const SoakOptions &o) {
    return o.CutsDaemons && o.Daemons <= MaxSeparateDaemons;
  }

  void repeatRejections() {
    constexpr std::array<RepeatedRejection, 4> Repeats = {
        RepeatedRejection::AtOnce, RepeatedRejection::Later,
        RepeatedRejection::AfterNextRequest,
        RepeatedRejection::AfterNextRequestInParts};
    for (DeployedWorker &it : Deployment.Workers) {
      it.Flags = {"--shed_every=20", "--shed_with_id=false"};
      it.Link->setRepeatedRejections(Repeats[Random() % Repeats.size()]);
    }
  }

  using Fault = std::function<Awaitable<void>()>;

  Awaitable<void> runScenario() {
    if (!co_await Deployment.bringUp(StartTimeout)) {
      Report.Violations.push_back("the daemons did not become ready");
      Io.stop();
      co_return;
    }
    for (unsigned i = 0; i < Options.Callers; ++i)
      spawn(Io, "caller", [this, i] { return callLoop(i); });
    if (Options.Hazards) {
      spawn(Io, "crashing-prompts", [this] {
        return crashServers(ResumableRoute, CrashingPrompt, CrashingCalls);
      });
      spawn(Io, "crashing-repeats", [this] {
        return crashServers(CrashingRoute, "", CrashingRepeats);
      });
      spawn(Io, "restart", [this] { return restartEngines(); });
    }
    if (Options.OddEntries)
      spawn(Io, "odd-entries", [this] { return addOddEntries(); });
    if (Options.EndlessResponses)
      spawn(Io, "endless", [this] { return answerWithoutEnd(); });
    MonoTime end = MonoClock::now() + Options.Length;
    while (Options.Faults && MonoClock::now() < end) {
      Fault f = pickFault();
      // Silences of one server that follow one another would exceed deadlines.
      if (Options.PlannedOnly)
        co_await f();
      else
        spawn(Io, "fault", std::move(f));
      ++Report.Faults;
      co_await sleepFor(randomDuration(100, 700));
    }
    if (!Options.Faults)
      co_await sleepFor(Options.Length);
    co_await checkRecovery();
  }

  /// Waits until all faults have ended, then checks that at least 90 % of the
  /// requests of every route get a correct response.
  Awaitable<void> checkRecovery() {
    MonoTime end = MonoClock::now() + Milliseconds(StopTimeoutMs);
    while (ActiveFaults > 0 && MonoClock::now() < end)
      co_await sleepFor(Milliseconds(50));
    co_await sleepFor(StabilityWindow);
    CheckedFrom = wallTime();
    LimitedEngine = Deployment.Workers.back().Id;
    co_await sleepFor(RecoveryTime - StabilityWindow);
    CheckedUntil = wallTime();
    SendsCrashingRequests = false;
    size_t from = Calls.size();
    co_await sleepFor(ObservationTime);
    std::map<std::string, std::pair<int, int>> served;
    for (size_t i = from; i < Calls.size(); ++i) {
      auto &[correct, all] = served[Calls[i].Route];
      ++all;
      correct += Calls[i].Outcome == DaemonCallOutcome::Correct ? 1 : 0;
    }
    for (const char *it : Routes)
      if (served[it].first * 10 < served[it].second * 9 ||
          served[it].second == 0)
        Report.Violations.push_back(
            std::string("too few correct responses after the faults: ") + it +
            " " + std::to_string(served[it].first) + " of " +
            std::to_string(served[it].second));
    IsComplete = true;
    Io.stop();
  }

  /// Sends a request at a time that crashes the server that executes it.
  Awaitable<void> crashServers(std::string route, std::string prompt,
                               std::vector<CallResult> &calls) {
    http::Client client(Io);
    while (SendsCrashingRequests) {
      http::Endpoint daemon =
          Deployment.Daemons[calls.size() % Deployment.Daemons.size()]
              .HttpListen;
      calls.push_back(
          co_await callDaemon(client, daemon, route, CallDeadline, prompt));
      co_await sleepFor(CrashingPause);
    }
  }

  /// The entries expire again.
  Awaitable<void> addOddEntries() {
    for (size_t i = 0;; ++i) {
      try {
        co_await Deployment.writeOddEntry("a-" + std::to_string(i), i);
      } catch (const http::TransportError &e) {
        log::info(log::Category::StandIn, "no odd entry written: {}", e.what());
      }
      co_await sleepFor(OddEntryPause);
    }
  }

  /// Lets a backend server at a time answer without an end. Comments alone
  /// would be a sound stream.
  Awaitable<void> answerWithoutEnd() {
    // The faults of a seed stay the same.
    std::mt19937_64 random(Options.Seed);
    MonoTime end = MonoClock::now() + Options.Length;
    while (MonoClock::now() < end) {
      Relay &link =
          *Deployment.Workers[random() % Deployment.Workers.size()].Link;
      EndlessForm form = EndlessForms[random() % EndlessForms.size()];
      if (form != EndlessForm::Comments)
        link.setEndless(form);
      co_await sleepFor(EndlessTime);
      link.setEndless(std::nullopt);
      co_await sleepFor(EndlessPause);
    }
  }

  /// Starts engines again that have crashed. Engines that a fault has stopped
  /// are mostly started by it.
  Awaitable<void> restartEngines() {
    std::map<DeployedWorker *, MonoTime> stopped;
    for (;;) {
      for (DeployedWorker &it : Deployment.Workers) {
        if (it.ChildProcess->running()) {
          stopped.erase(&it);
          continue;
        }
        auto [since, isFirst] = stopped.try_emplace(&it, MonoClock::now());
        if (isFirst || MonoClock::now() - since->second < RestartDelay)
          continue;
        Deployment.startWorker(it, false);
        stopped.erase(since);
      }
      co_await sleepFor(Milliseconds(50));
    }
  }

  /// Checks what the hazards may still do when all processes have been
  /// undisturbed for a stability window.
  void checkHazards() {
    std::string history = Deployment.historyFile();
    for (const std::vector<CallResult> *calls :
         {&CrashingCalls, &CrashingRepeats}) {
      std::set<std::string> crashing;
      for (const CallResult &it : *calls)
        crashing.insert(it.Id);
      size_t n = countArrivals(history, "", CheckedFrom, &crashing);
      if (n > AllowedCrashingRequests)
        Report.Violations.push_back(
            std::to_string(n) + " requests that crash " +
            (calls == &CrashingCalls ? "engines" : "plain servers") +
            " reached them");
    }
    if (Deployment.Workers.back().Id != LimitedEngine)
      return;
    size_t limited =
        countArrivals(history, LimitedEngine, CheckedFrom, nullptr);
    Milliseconds time = CheckedUntil - CheckedFrom + ObservationTime;
    double allowed =
        AllowedLimitRatio * EngineLimit.PerSecond * toSeconds(time) +
        AllowedLimitExtra;
    if (static_cast<double>(limited) > allowed)
      Report.Violations.push_back(std::to_string(limited) +
                                  " requests at an engine whose limit allows " +
                                  std::to_string(allowed));
  }

  Awaitable<void> callLoop(unsigned n) {
    http::Client client(Io);
    std::string route = Routes[n % Routes.size()];
    for (;;) {
      std::vector<http::Endpoint> daemons;
      size_t first = Random() % Deployment.Daemons.size();
      for (size_t i = 0; i < MaxRequests; ++i)
        daemons.push_back(
            Deployment.Daemons[(first + i) % Deployment.Daemons.size()]
                .HttpListen);
      // In the planned mode, a broken response is a violation.
      bool takesUp = route == ResumableRoute && !Options.PlannedOnly;
      CallResult r;
      if (takesUp)
        r = co_await callStream(client, std::move(daemons), route,
                                CallDeadline);
      else
        r = co_await callDaemon(client, daemons[0], route, CallDeadline);
      Calls.push_back(std::move(r));
      co_await sleepFor(CallerPause);
    }
  }

  Milliseconds randomDuration(int min, int max) {
    return Milliseconds(std::uniform_int_distribution<int>(min, max)(Random));
  }

  template <class T> T &pickRandom(std::vector<T> &list) {
    return list[Random() % list.size()];
  }

  /// Returns a random fault that is counted as active while it lasts.
  Fault pickFault() {
    Fault f = makeFault();
    return [this, f]() -> Awaitable<void> {
      ++ActiveFaults;
      try {
        co_await f();
      } catch (const http::TransportError &e) {
        // The configuration is not written if the store resets the connection.
        log::info(log::Category::StandIn, "fault ended with an error: {}",
                  e.what());
      }
      --ActiveFaults;
    };
  }

  Fault makePlannedFault() {
    DeployedDaemon &d = pickRandom(Deployment.Daemons);
    DeployedWorker &w = pickRandom(Deployment.Workers);
    Milliseconds silence = randomDuration(300, 1'300);
    switch (Random() % 4) {
    case 0:
      return [this]() -> Awaitable<void> {
        co_await Deployment.writeConfiguration(Random() % 4);
      };
    case 1:
      return [&d]() -> Awaitable<void> {
        ::kill(d.ChildProcess->id(), SIGHUP);
        co_return;
      };
    default:
      return [&w, silence] { return pause(*w.ChildProcess, silence); };
    }
  }

  Fault makeFault() {
    if (Options.PlannedOnly)
      return makePlannedFault();
    DeployedDaemon &d = pickRandom(Deployment.Daemons);
    DeployedWorker &w = pickRandom(Deployment.Workers);
    Milliseconds duration = randomDuration(200, 1'800);
    bool keepId = Random() % 2 == 0;
    switch (Random() % (cutsDaemons(Options) ? 14 : 13)) {
    case 13:
      return [this, &d, duration, cutsOthers = Random() % 2 == 0] {
        return cutDaemons(d, duration, cutsOthers);
      };
    case 12:
      return [this, &w, duration, keepId] {
        return startWithNotice(w, duration, keepId);
      };
    case 0:
      return [this, &d, duration] { return killDaemon(d, duration); };
    case 1:
      return [this, &d] { return stopDaemon(d); };
    case 2:
      return [&d, duration] { return pause(*d.ChildProcess, duration); };
    case 3:
      return [this, &w, duration, keepId] {
        return killWorker(w, duration, keepId);
      };
    case 4:
      return [this, &w, keepId] { return drainWorker(w, !keepId); };
    case 5:
      return [&w, duration] { return pause(*w.ChildProcess, duration); };
    case 6:
      return [this, duration] { return storeFault(duration); };
    case 7:
      return [this]() -> Awaitable<void> {
        co_await Deployment.writeConfiguration(Random() % 4);
      };
    case 8:
      return [&d, duration, this] { return linkFault(*d.StoreLink, duration); };
    case 9:
      return [&w, duration, this] { return linkFault(*w.Link, duration); };
    case 10:
      return [&w]() -> Awaitable<void> {
        w.Link->closeOpenConnections();
        co_return;
      };
    default:
      return [&w, duration]() -> Awaitable<void> {
        w.Link->setDelay(duration / 10);
        co_await sleepFor(duration);
        w.Link->setDelay(Milliseconds(0));
      };
    }
  }

  /// Cuts a daemon, or all others, off from all backend servers.
  Awaitable<void> cutDaemons(DeployedDaemon &d, Milliseconds duration,
                             bool cutsOthers) {
    constexpr std::array<LinkMode, 3> Modes = {
        LinkMode::Disconnect, LinkMode::Blackhole, LinkMode::RefuseNew};
    LinkMode mode = Modes[Random() % Modes.size()];
    auto setAll = [&](LinkMode m) {
      for (DeployedDaemon &it : Deployment.Daemons)
        for (const std::unique_ptr<Relay> &link : it.Links)
          if ((&it == &d) != cutsOthers)
            link->setMode(m);
    };
    setAll(mode);
    co_await sleepFor(duration * 2);
    setAll(LinkMode::Forward);
  }

  static Awaitable<void> pause(Process &p, Milliseconds duration) {
    p.pause();
    co_await sleepFor(duration);
    p.resume();
  }

  Awaitable<void> killDaemon(DeployedDaemon &d, Milliseconds duration) {
    if (!d.ChildProcess->running())
      co_return;
    d.ChildProcess->kill();
    co_await sleepFor(duration);
    if (!d.ChildProcess->running())
      Deployment.startDaemon(d);
  }

  /// Stops a daemon with SIGTERM, which must end it within the grace time.
  /// Another fault may kill or restart the daemon meanwhile, so only the
  /// process that received the signal is checked.
  Awaitable<void> stopDaemon(DeployedDaemon &d) {
    if (!d.ChildProcess->running())
      co_return;
    pid_t signalledPid = d.ChildProcess->id();
    auto isStillRunning = [&] {
      return d.ChildProcess->running() && d.ChildProcess->id() == signalledPid;
    };
    d.ChildProcess->terminate();
    MonoTime end = MonoClock::now() + Milliseconds(StopTimeoutMs);
    while (isStillRunning() && MonoClock::now() < end)
      co_await sleepFor(Milliseconds(20));
    if (isStillRunning()) {
      Report.Violations.push_back(d.ChildProcess->spec().Name +
                                  " did not exit after SIGTERM");
      d.ChildProcess->kill();
    }
    if (!d.ChildProcess->running())
      Deployment.startDaemon(d);
  }

  Awaitable<void> killWorker(DeployedWorker &w, Milliseconds duration,
                             bool keepId) {
    w.ChildProcess->kill();
    co_await sleepFor(duration);
    if (!w.ChildProcess->running())
      Deployment.startWorker(w, keepId);
  }

  /// Starts a server that says in its responses alone that it leaves, or
  /// rejects all requests with a time to wait, and then one as before.
  Awaitable<void> startWithNotice(DeployedWorker &w, Milliseconds duration,
                                  bool keepId) {
    if (Random() % 2 == 0)
      w.Flags = {"--leaves_after_ms=300"};
    else
      w.Flags = {"--retry_after=0.8", "--reject_from_ms=300",
                 "--reject_ms=1000"};
    co_await killWorker(w, Milliseconds(100), keepId);
    co_await sleepFor(duration);
    w.Flags.clear();
    co_await killWorker(w, Milliseconds(100), keepId);
  }

  /// A release starts an engine of the next software version in its place.
  Awaitable<void> drainWorker(DeployedWorker &w, bool releases) {
    std::string drained = w.Id;
    w.ChildProcess->terminate();
    MonoTime end = MonoClock::now() + Milliseconds(StopTimeoutMs);
    while (w.ChildProcess->running() && w.Id == drained &&
           MonoClock::now() < end)
      co_await sleepFor(Milliseconds(20));
    if (w.Id != drained)
      co_return;
    const auto *version =
        std::find(SoftwareVersions.begin(), SoftwareVersions.end(), w.Version);
    size_t n = static_cast<size_t>(version - SoftwareVersions.begin());
    if (releases && !w.Stage.empty())
      w.Version = SoftwareVersions[(n + 1) % SoftwareVersions.size()];
    Deployment.startWorker(w, false);
  }

  Awaitable<void> storeFault(Milliseconds duration) {
    constexpr std::array<const char *, 4> Modes = {"busy", "reset", "silent",
                                                   "lose_writes"};
    std::string body = R"({"compact":true})";
    size_t kind = Random() % 4;
    if (kind == 0)
      body = R"({"restore_ms":)" + std::to_string(Random() % 4'000) + "}";
    else if (kind > 1)
      body = std::string(R"({"mode":")") + Modes[Random() % Modes.size()] +
             R"("})";
    co_await Deployment.setStoreMode(std::move(body));
    co_await sleepFor(duration);
    std::string normal = R"({"mode":"sound"})";
    co_await Deployment.setStoreMode(std::move(normal));
    // The operator writes what a copy may lack.
    if (kind == 0)
      co_await Deployment.writeConfiguration(0);
  }

  Awaitable<void> linkFault(Relay &link, Milliseconds duration) {
    constexpr std::array<LinkMode, 4> Modes = {
        LinkMode::Disconnect, LinkMode::Blackhole, LinkMode::BlackholeOpen,
        LinkMode::BlackholeToTarget};
    link.setMode(Modes[Random() % Modes.size()]);
    co_await sleepFor(duration);
    link.setMode(LinkMode::Forward);
  }

  IoContext Io{1};
  SoakOptions Options;
  std::mt19937_64 Random;
  PlatformDeployment Deployment;
  std::vector<CallResult> Calls;
  std::vector<CallResult> CrashingCalls;
  std::vector<CallResult> CrashingRepeats;
  bool SendsCrashingRequests = true;
  /// Wall-clock times between which and the end the hazards are checked.
  Milliseconds CheckedFrom{0};
  Milliseconds CheckedUntil{0};
  std::string LimitedEngine;
  SoakReport Report;
  /// All checks after the faults have been made.
  bool IsComplete = false;
  int ActiveFaults = 0;
};

} // namespace

SoakReport runSoak(const SoakOptions &options) { return Soak(options).run(); }

} // namespace sardineford::standins
