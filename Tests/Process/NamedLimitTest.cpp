#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"
#include "StandIns/Platform/WorkerHistory.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

constexpr Milliseconds StartTime{20'000};
constexpr Milliseconds Deadline{3'000};
constexpr NamedLimit Limit{2, Milliseconds(4'000), Milliseconds(9'000)};
/// Bounds of the platform: time until all daemons keep to a limit, and requests
/// that a server may get in some time then.
constexpr Milliseconds StabilityWindow{3'000};
constexpr Milliseconds CountedTime{4'000};
constexpr double AllowedRatio = 1.5;
constexpr double AllowedExtra = 5;

/// Returns the times of the arrivals at a server since its start.
std::vector<Milliseconds> arrivalsAt(const std::vector<WorkerEvent> &history,
                                     const std::string &server,
                                     Milliseconds start) {
  std::vector<Milliseconds> out;
  for (const WorkerEvent &it : history)
    if (it.Action == "arrival" && it.Server == server)
      out.push_back(it.Time - start);
  return out;
}

size_t countBetween(const std::vector<Milliseconds> &times, Milliseconds from,
                    Milliseconds length) {
  return static_cast<size_t>(
      std::count_if(times.begin(), times.end(), [&](Milliseconds it) {
        return it >= from && it < from + length;
      }));
}

} // namespace

TEST_CASE("all daemons together keep to the limit that a server names",
          "[process]") {
  IoContext io(1);
  PlatformDeploymentOptions o;
  o.Programs = SARDINEFORD_PROGRAMS;
  o.Folder = makeTemporaryFolder();
  o.Daemons = 3;
  o.DecodeEngines = 2;
  o.StepTime = Milliseconds(20);
  o.Limit = Limit;
  PlatformDeployment deployment(io, o);
  http::Client client(io);
  std::vector<CallResult> calls;
  bool ready = false;
  Milliseconds start{0};
  spawn(io, "case", [&]() -> Awaitable<void> {
    start = std::chrono::duration_cast<Milliseconds>(
        WallClock::now().time_since_epoch());
    ready = co_await deployment.bringUp(StartTime);
    MonoTime end = MonoClock::now() + Milliseconds(18'000);
    for (unsigned i = 0; ready && MonoClock::now() < end; ++i) {
      spawn(io, "call", [&, i]() -> Awaitable<void> {
        http::Endpoint daemon =
            deployment.Daemons[i % deployment.Daemons.size()].HttpListen;
        calls.push_back(
            co_await callDaemon(client, daemon, ResumableRoute, Deadline));
      });
      co_await sleepFor(Milliseconds(25));
    }
    co_await sleepFor(Deadline);
    io.stop();
  });
  io.run();
  REQUIRE(ready);
  std::vector<Milliseconds> arrivals =
      arrivalsAt(readHistory(deployment.historyFile()),
                 deployment.Workers.back().Id, start);
  double allowed =
      AllowedRatio * Limit.PerSecond * toSeconds(CountedTime) + AllowedExtra;
  Milliseconds end = Limit.From + Limit.Length;
  size_t most = 0;
  for (Milliseconds it = Limit.From + StabilityWindow; it + CountedTime <= end;
       it += Milliseconds(100))
    most = std::max(most, countBetween(arrivals, it, CountedTime));
  INFO("most arrivals while limited: " << most);
  CHECK(static_cast<double>(most) <= allowed);
  CHECK(countBetween(arrivals, Limit.From + StabilityWindow,
                     end - Limit.From - StabilityWindow) > 0);
  // The limit ends with the header.
  CHECK(countBetween(arrivals, end + StabilityWindow, Milliseconds(3'000)) >
        static_cast<size_t>(allowed));
  auto correct = std::count_if(calls.begin(), calls.end(), [](const auto &it) {
    return it.Outcome == DaemonCallOutcome::Correct;
  });
  CHECK(correct * 10 >= static_cast<ptrdiff_t>(calls.size()) * 9);
}
