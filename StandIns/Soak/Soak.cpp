#include "StandIns/Soak/Soak.h"

#include "Sardineford/Common/Log.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"
#include "StandIns/Soak/SoakChecks.h"

#include <array>
#include <functional>
#include <random>

namespace sardineford::standins {

namespace {

constexpr Milliseconds StartTime{10'000};
/// After the last fault the deployment must serve again within this time.
constexpr Milliseconds RecoveryTime{6'000};
constexpr Milliseconds QuietTime{2'000};
constexpr Milliseconds CallerPause{30};
constexpr Milliseconds CallDeadline{3'000};
/// Grace of the daemons, from their settings, and the end of the process.
constexpr int StopMilliseconds = 7'500;

const std::array<const char *, 4> Routes = {OnceRoute, RepeatableRoute,
                                            ResumableRoute, StreamRoute};

std::string_view toString(CallEnd e) {
  constexpr std::array<std::string_view, 6> Names = {
      "right", "wrong", "refused", "failed", "cut", "not taken"};
  return Names[static_cast<size_t>(e)];
}

/// One run of the soak. Everything happens on one thread.
class Soak {
public:
  explicit Soak(const SoakOptions &o)
      : Options(o), Random(o.Seed),
        Deployment(Io, {.Programs = o.Programs, .Folder = o.Folder}) {}

  SoakReport run() {
    spawn(Io, "soak", [this] { return play(); });
    Io.run();
    for (const std::string &it : checkPromises(Calls, Deployment.historyFile()))
      Report.Violations.push_back(it);
    for (const CallResult &it : Calls)
      ++Report.Ends[std::string(toString(it.End))];
    return Report;
  }

private:
  using Fault = std::function<Awaitable<void>()>;

  Awaitable<void> play() {
    if (!co_await Deployment.bringUp(StartTime)) {
      Report.Violations.push_back("the daemons do not become ready");
      Io.stop();
      co_return;
    }
    for (unsigned i = 0; i < Options.Callers; ++i)
      spawn(Io, "caller", [this, i] { return callLoop(i); });
    MonoTime end = MonoClock::now() + Options.Length;
    while (Options.Faults && MonoClock::now() < end) {
      spawn(Io, "fault", pickFault());
      ++Report.Faults;
      co_await sleepFor(between(100, 700));
    }
    if (!Options.Faults)
      co_await sleepFor(Options.Length);
    co_await recover();
  }

  /// All faults end by themselves; then every kind is served again.
  Awaitable<void> recover() {
    MonoTime end = MonoClock::now() + Milliseconds(StopMilliseconds);
    while (OpenFaults > 0 && MonoClock::now() < end)
      co_await sleepFor(Milliseconds(50));
    co_await sleepFor(RecoveryTime);
    size_t from = Calls.size();
    co_await sleepFor(QuietTime);
    std::map<std::string, std::pair<int, int>> served;
    for (size_t i = from; i < Calls.size(); ++i) {
      auto &[right, all] = served[Calls[i].Route];
      ++all;
      right += Calls[i].End == CallEnd::Right ? 1 : 0;
    }
    for (const char *it : Routes)
      if (served[it].first * 10 < served[it].second * 9 ||
          served[it].second == 0)
        Report.Violations.push_back(
            std::string("not served again after the faults: ") + it + " " +
            std::to_string(served[it].first) + " of " +
            std::to_string(served[it].second));
    Io.stop();
  }

  Awaitable<void> callLoop(unsigned n) {
    http::Client client(Io);
    std::string route = Routes[n % Routes.size()];
    for (;;) {
      const DeployedDaemon &d =
          Deployment.Daemons[Random() % Deployment.Daemons.size()];
      CallResult r = co_await callDaemon(client, d.Front, route, CallDeadline);
      Calls.push_back(std::move(r));
      co_await sleepFor(CallerPause);
    }
  }

  Milliseconds between(int least, int most) {
    return Milliseconds(
        std::uniform_int_distribution<int>(least, most)(Random));
  }

  template <class T> T &any(std::vector<T> &list) {
    return list[Random() % list.size()];
  }

  /// A fault, counted as open while it lasts.
  Fault pickFault() {
    Fault f = makeFault();
    return [this, f]() -> Awaitable<void> {
      ++OpenFaults;
      try {
        co_await f();
      } catch (const http::TransportError &e) {
        // A configuration that meets a store that resets is not written.
        log::info(log::Category::StandIn, "a fault ended: {}", e.what());
      }
      --OpenFaults;
    };
  }

  Fault makeFault() {
    DeployedDaemon &d = any(Deployment.Daemons);
    DeployedWorker &w = any(Deployment.Workers);
    Milliseconds time = between(200, 1'800);
    bool keepId = Random() % 2 == 0;
    switch (Random() % 12) {
    case 0:
      return [this, &d, time] { return killDaemon(d, time); };
    case 1:
      return [this, &d] { return stopDaemon(d); };
    case 2:
      return [&d, time] { return pause(*d.Run, time); };
    case 3:
      return [this, &w, time, keepId] { return killWorker(w, time, keepId); };
    case 4:
      return [this, &w] { return drainWorker(w); };
    case 5:
      return [&w, time] { return pause(*w.Run, time); };
    case 6:
      return [this, time] { return storeFault(time); };
    case 7:
      return [this]() -> Awaitable<void> {
        co_await Deployment.writeConfiguration(Random() % 4);
      };
    case 8:
      return [&d, time, this] { return linkFault(*d.ToStore, time); };
    case 9:
      return [&w, time, this] { return linkFault(*w.Link, time); };
    case 10:
      return [&w]() -> Awaitable<void> {
        w.Link->resetOpen();
        co_return;
      };
    default:
      return [&w, time]() -> Awaitable<void> {
        w.Link->setDelay(time / 10);
        co_await sleepFor(time);
        w.Link->setDelay(Milliseconds(0));
      };
    }
  }

  static Awaitable<void> pause(Process &p, Milliseconds time) {
    p.pause();
    co_await sleepFor(time);
    p.resume();
  }

  Awaitable<void> killDaemon(DeployedDaemon &d, Milliseconds time) {
    if (!d.Run->running())
      co_return;
    d.Run->kill();
    co_await sleepFor(time);
    if (!d.Run->running())
      Deployment.startDaemon(d);
  }

  /// A stop ends by itself within the grace time. Another fault may end or
  /// start the process anew meanwhile: only the one that got the signal counts.
  Awaitable<void> stopDaemon(DeployedDaemon &d) {
    if (!d.Run->running())
      co_return;
    pid_t stopped = d.Run->id();
    auto stillRuns = [&] { return d.Run->running() && d.Run->id() == stopped; };
    d.Run->terminate();
    MonoTime end = MonoClock::now() + Milliseconds(StopMilliseconds);
    while (stillRuns() && MonoClock::now() < end)
      co_await sleepFor(Milliseconds(20));
    if (stillRuns()) {
      Report.Violations.push_back(d.Run->spec().Name +
                                  " does not end after SIGTERM");
      d.Run->kill();
    }
    if (!d.Run->running())
      Deployment.startDaemon(d);
  }

  Awaitable<void> killWorker(DeployedWorker &w, Milliseconds time,
                             bool keepId) {
    w.Run->kill();
    co_await sleepFor(time);
    if (!w.Run->running())
      Deployment.startWorker(w, keepId);
  }

  Awaitable<void> drainWorker(DeployedWorker &w) {
    std::string drained = w.Id;
    w.Run->terminate();
    MonoTime end = MonoClock::now() + Milliseconds(StopMilliseconds);
    while (w.Run->running() && w.Id == drained && MonoClock::now() < end)
      co_await sleepFor(Milliseconds(20));
    if (w.Id == drained)
      Deployment.startWorker(w, false);
  }

  Awaitable<void> storeFault(Milliseconds time) {
    constexpr std::array<const char *, 4> Modes = {"busy", "reset", "silent",
                                                   "lose_writes"};
    std::string body = R"({"compact":true})";
    if (Random() % 3 != 0)
      body = std::string(R"({"mode":")") + Modes[Random() % Modes.size()] +
             R"("})";
    co_await Deployment.setStoreMode(std::move(body));
    co_await sleepFor(time);
    std::string sound = R"({"mode":"sound"})";
    co_await Deployment.setStoreMode(std::move(sound));
  }

  Awaitable<void> linkFault(Relay &link, Milliseconds time) {
    constexpr std::array<LinkMode, 4> Modes = {
        LinkMode::Drop, LinkMode::Swallow, LinkMode::SwallowOpen,
        LinkMode::SwallowForward};
    link.setMode(Modes[Random() % Modes.size()]);
    co_await sleepFor(time);
    link.setMode(LinkMode::Pass);
  }

  IoContext Io{1};
  SoakOptions Options;
  std::mt19937_64 Random;
  PlatformDeployment Deployment;
  std::vector<CallResult> Calls;
  SoakReport Report;
  int OpenFaults = 0;
};

} // namespace

SoakReport runSoak(const SoakOptions &options) { return Soak(options).run(); }

} // namespace sardineford::standins
