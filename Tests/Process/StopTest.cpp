#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"
#include "StandIns/Platform/WorkerHistory.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

constexpr Milliseconds StartTime{20'000};
constexpr Milliseconds Deadline{4'000};
constexpr Milliseconds CallPause{100};
/// Shorter than the timeouts of the routes and the time for which a load
/// balancer sends requests.
constexpr std::chrono::seconds ShortGrace{2};
/// Longer than any request may take.
constexpr Milliseconds EndlessWork{20'000};

/// Sends a part of a request and returns the first bytes of the response.
Awaitable<std::string> sendPartOfRequest(IoContext &io, http::Endpoint to) {
  boost::asio::ip::tcp::socket socket(io);
  co_await socket.async_connect(
      {boost::asio::ip::make_address(to.Host), to.Port},
      boost::asio::use_awaitable);
  std::string part = "POST /file/1 HTTP/1.1\r\nHost: users.example\r\n"
                     "Content-Length: 10\r\n\r\nhalf";
  co_await boost::asio::async_write(socket, boost::asio::buffer(part),
                                    boost::asio::use_awaitable);
  std::string out(12, '\0');
  auto [ec, n] = co_await boost::asio::async_read(
      socket, boost::asio::buffer(out),
      boost::asio::as_tuple(boost::asio::use_awaitable));
  out.resize(n);
  co_return out;
}

} // namespace

TEST_CASE("no request is cut without an answer when a stopping process exits",
          "[process]") {
  IoContext io(1);
  PlatformDeployment deployment(io, {.Programs = SARDINEFORD_PROGRAMS,
                                     .Folder = makeTemporaryFolder(),
                                     .Daemons = 1,
                                     .PlainServers = 2,
                                     .PrefillEngines = 0,
                                     .DecodeEngines = 1,
                                     .WorkTime = EndlessWork,
                                     .StepTime = EndlessWork,
                                     .DaemonStopGrace = ShortGrace});
  http::Client client(io);
  std::vector<CallResult> calls;
  std::string partAnswer;
  size_t open = 0;
  bool ready = false;
  Milliseconds stopTime{0};
  spawn(io, "case", [&]() -> Awaitable<void> {
    ready = co_await deployment.bringUp(StartTime);
    DeployedDaemon &d = deployment.Daemons[0];
    MonoTime start = MonoClock::now();
    d.ChildProcess->terminate();
    ++open;
    spawn(io, "part", [&]() -> Awaitable<void> {
      partAnswer = co_await sendPartOfRequest(io, d.HttpListen);
      --open;
    });
    while (ready && d.ChildProcess->running()) {
      for (const char *route : {OnceRoute, RepeatableRoute, StreamRoute}) {
        ++open;
        spawn(io, "call", [&, route]() -> Awaitable<void> {
          calls.push_back(
              co_await callDaemon(client, d.HttpListen, route, Deadline));
          --open;
        });
      }
      co_await sleepFor(CallPause);
    }
    stopTime = toMilliseconds(MonoClock::now() - start);
    while (open > 0)
      co_await sleepFor(Milliseconds(20));
    io.stop();
  });
  io.run();
  REQUIRE(ready);
  CHECK(stopTime < ShortGrace);
  std::set<std::string> run;
  for (const WorkerEvent &it : readHistory(deployment.historyFile()))
    if (it.Action == "arrival")
      run.insert(it.Request);
  CHECK(run.size() > 10);
  for (const CallResult &it : calls) {
    INFO(it.Id << " on " << it.Route << ", status " << it.Status);
    // Requests that reached a server have an answer, and it does not say that
    // they were not executed.
    CHECK((it.Outcome == DaemonCallOutcome::Failed || !run.contains(it.Id)));
  }
  CHECK(partAnswer == "HTTP/1.1 503");
}
