#include "Sardineford/Common/Random.h"
#include "Sardineford/Http/Status.h"
#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"
#include "StandIns/Platform/WorkerHistory.h"
#include "platform/Names.h"

#include <catch2/catch.hpp>
#include <spdlog/fmt/fmt.h>

#include <map>
#include <set>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

constexpr Milliseconds StartTime{20'000};
constexpr Milliseconds Deadline{3'000};
/// All traffic of a case lies in one window of the limit.
constexpr Milliseconds LoadTime{9'000};
constexpr Milliseconds CallPause{20};
/// Limit of the platform on arrivals beyond the first of each request.
constexpr double AllowedRatio = 0.2;

/// Calls streams while all engines reject every second call.
class RetryCase {
public:
  explicit RetryCase(double allowedSlack)
      : AllowedSlack(allowedSlack), Deployment(Io, options(allowedSlack)) {
    for (DeployedWorker &it : Deployment.Workers)
      if (!it.Stage.empty())
        it.Flags = {"--shed_every=2"};
  }

  /// Kills and restarts all daemons at this interval; 0 for never.
  void run(Milliseconds restartInterval) {
    bool ready = false;
    spawn(Io, "case", [&]() -> Awaitable<void> {
      ready = co_await Deployment.bringUp(StartTime);
      if (ready && restartInterval > Milliseconds(0))
        spawn(Io, "restart", [&] { return restartDaemons(restartInterval); });
      End = MonoClock::now() + LoadTime;
      for (unsigned i = 0; ready && MonoClock::now() < End; ++i) {
        spawn(Io, "call", [this, i] { return call(i); });
        co_await sleepFor(CallPause);
      }
      co_await sleepFor(Deadline);
      Io.stop();
    });
    Io.run();
    REQUIRE(ready);
  }

  /// Returns the arrivals at engines beyond the first of each request. The
  /// first prefill that was executed does not count.
  size_t furtherArrivals() const {
    std::map<std::string, size_t> arrivals;
    std::set<std::string> prefilled;
    for (const WorkerEvent &it : readHistory(Deployment.historyFile())) {
      if (it.Action == "arrival")
        ++arrivals[it.Request];
      else if (it.Action == "prefill")
        prefilled.insert(it.Request);
    }
    size_t n = 0;
    for (const auto &[request, count] : arrivals) {
      size_t counted = count - (prefilled.contains(request) ? 1 : 0);
      n += counted > 1 ? counted - 1 : 0;
    }
    return n;
  }

  double allowed() const {
    return AllowedRatio * static_cast<double>(NumCalls) + AllowedSlack;
  }

  size_t NumCalls = 0;
  size_t NumServed = 0;

private:
  static PlatformDeploymentOptions options(double allowedSlack) {
    PlatformDeploymentOptions o;
    o.Programs = SARDINEFORD_PROGRAMS;
    o.Folder = makeTemporaryFolder();
    o.Daemons = 3;
    o.PrefillEngines = 3;
    o.DecodeEngines = 3;
    o.RetrySlack = allowedSlack;
    return o;
  }

  /// Sends a long prompt of which nothing is cached, so that it is worth a
  /// separate prefill.
  Awaitable<void> call(unsigned i) {
    ++NumCalls;
    http::Request r = makeCall(makeId(), ResumableRoute, Deadline,
                               fmt::format("{:x}:7900", 4096 + i));
    for (http::Header &it : r.Fields.Fields)
      if (it.Name == platform::names::TokenCounts)
        it.Value = "8000,80";
    http::CallOptions options;
    options.Timeout = Deadline;
    options.ResendOnStale = false;
    size_t daemon = i % Deployment.Daemons.size();
    try {
      http::Response response =
          co_await Client.call(Deployment.Daemons[daemon].HttpListen,
                               std::move(r), std::move(options));
      NumServed += response.Status == http::StatusOk ? 1 : 0;
    } catch (const http::TransportError &) {
      // The daemon has been killed.
      co_return;
    }
  }

  Awaitable<void> restartDaemons(Milliseconds interval) {
    for (;;) {
      co_await sleepFor(interval);
      if (MonoClock::now() >= End)
        co_return;
      for (DeployedDaemon &it : Deployment.Daemons) {
        it.ChildProcess->kill();
        Deployment.startDaemon(it);
      }
    }
  }

  double AllowedSlack;
  IoContext Io{1};
  PlatformDeployment Deployment;
  http::Client Client{Io};
  MonoTime End{};
};

} // namespace

TEST_CASE("rejected prefills and the runs after them stay within the retry "
          "budget",
          "[process]") {
  RetryCase c(10);
  c.run(Milliseconds(0));
  INFO(c.furtherArrivals() << " further arrivals, " << c.NumCalls << " calls, "
                           << c.NumServed << " served");
  CHECK(static_cast<double>(c.furtherArrivals()) <= c.allowed());
  // A request without any further arrival succeeds every second time.
  CHECK(static_cast<double>(c.NumServed) >=
        0.45 * static_cast<double>(c.NumCalls));
}

TEST_CASE("daemons that restart again and again stay within the retry budget",
          "[process]") {
  RetryCase c(60);
  c.run(Milliseconds(2'000));
  INFO(c.furtherArrivals() << " further arrivals, " << c.NumCalls << " calls, "
                           << c.NumServed << " served");
  CHECK(static_cast<double>(c.furtherArrivals()) <= c.allowed());
}
