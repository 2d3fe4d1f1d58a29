#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <vector>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

constexpr Milliseconds StartTime{30'000};
constexpr Milliseconds Deadline{3'000};
/// Bound of the platform for a change of the configuration.
constexpr Milliseconds ApplyTime{2'000};
/// A fleet in which few processes watch the store.
constexpr unsigned LargeFleet = 14;

class RestoreCase {
public:
  explicit RestoreCase(unsigned daemons)
      : Deployment(Io, options(daemons)), Client(Io) {}

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

  /// Restores the store from a copy that lacks some configurations, of which
  /// the operator writes the last one again.
  Awaitable<void> loseConfigurations() {
    for (unsigned i = 0; i < 12; ++i) {
      co_await Deployment.writeConfiguration(1);
      co_await sleepFor(Milliseconds(100));
    }
    co_await sleepFor(Milliseconds(1'500));
    co_await Deployment.setStoreMode(R"({"mode":"silent"})");
    co_await sleepFor(Milliseconds(300));
    co_await Deployment.setStoreMode(R"({"mode":"sound","restore_ms":3500})");
    co_await Deployment.writeConfiguration(1);
  }

  /// Returns the time until a daemon serves the routes of a configuration.
  Awaitable<Milliseconds> waitForRoutes(const DeployedDaemon &d,
                                        std::string prefix) {
    MonoTime start = MonoClock::now();
    while (MonoClock::now() - start < Milliseconds(8'000)) {
      CallResult r =
          co_await callDaemon(Client, d.HttpListen, prefix, Deadline);
      if (r.Status != 404)
        break;
      co_await sleepFor(Milliseconds(50));
    }
    co_return toMilliseconds(MonoClock::now() - start);
  }

  IoContext Io{1};
  PlatformDeployment Deployment;
  http::Client Client;

private:
  static PlatformDeploymentOptions options(unsigned daemons) {
    PlatformDeploymentOptions o;
    o.Programs = SARDINEFORD_PROGRAMS;
    o.Folder = makeTemporaryFolder();
    o.Daemons = daemons;
    return o;
  }
};

} // namespace

TEST_CASE("a configuration written after a restore of the store is applied by "
          "all daemons in time",
          "[process]") {
  RestoreCase c(LargeFleet);
  std::vector<Milliseconds> delays;
  c.run([&]() -> Awaitable<void> {
    co_await c.loseConfigurations();
    co_await c.Deployment.writeConfiguration(2);
    unsigned open = LargeFleet;
    for (const DeployedDaemon &it : c.Deployment.Daemons)
      spawn(c.Io, "wait", [&]() -> Awaitable<void> {
        delays.push_back(co_await c.waitForRoutes(it, extraRoute(1)));
        --open;
      });
    while (open > 0)
      co_await sleepFor(Milliseconds(50));
  });
  std::sort(delays.begin(), delays.end());
  INFO("last daemon after " << delays.back().count() << " ms");
  CHECK(delays.back() <= ApplyTime);
}

TEST_CASE("routes and servers that a restored store lacks stay in use",
          "[process]") {
  RestoreCase c(3);
  unsigned calls = 0;
  unsigned correct = 0;
  c.run([&]() -> Awaitable<void> {
    // Servers that are newer than the copy, and a configuration.
    for (DeployedWorker &it : c.Deployment.Workers) {
      it.ChildProcess->kill();
      c.Deployment.startWorker(it, false);
    }
    co_await c.Deployment.writeConfiguration(1);
    co_await sleepFor(Milliseconds(2'000));
    co_await c.Deployment.setStoreMode(R"({"restore_ms":4000})");
    MonoTime end = MonoClock::now() + Milliseconds(4'000);
    for (unsigned i = 0; MonoClock::now() < end; ++i) {
      const char *route = i % 2 == 0 ? RepeatableRoute : ResumableRoute;
      std::string prefix = i % 4 == 0 ? extraRoute(0) : route;
      http::Endpoint daemon = c.Deployment.Daemons[i % 3].HttpListen;
      spawn(c.Io, "call",
            [&c, &calls, &correct, daemon, prefix]() -> Awaitable<void> {
              CallResult r =
                  co_await callDaemon(c.Client, daemon, prefix, Deadline);
              ++calls;
              correct += r.Outcome == DaemonCallOutcome::Correct ? 1 : 0;
            });
      co_await sleepFor(Milliseconds(10));
    }
    co_await sleepFor(Deadline);
  });
  INFO(correct << " of " << calls << " correct");
  CHECK(correct * 100 >= calls * 99);
}
