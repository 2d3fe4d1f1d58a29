#include "Sardineford/Common/Random.h"
#include "Sardineford/Http/Status.h"
#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"
#include "StandIns/Platform/PlatformWorker.h"
#include "StandIns/Platform/WorkerHistory.h"
#include "platform/Names.h"

#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

using namespace sardineford;
using namespace sardineford::standins;

namespace names = platform::names;

namespace {

constexpr Milliseconds StartTime{20'000};
constexpr Milliseconds Deadline{4'000};
/// More than the socket buffers of a connection on loopback hold.
constexpr size_t UploadBytes = 3'900'000;
constexpr size_t Uploads = 5;
constexpr size_t Calls = 20;
constexpr std::array<const char *, 4> Routes = {OnceRoute, RepeatableRoute,
                                                ResumableRoute, StreamRoute};

PlatformDeploymentOptions options(unsigned daemons) {
  return {.Programs = SARDINEFORD_PROGRAMS,
          .Folder = makeTemporaryFolder(),
          .Daemons = daemons,
          .RetrySlack = 100'000};
}

/// Brings up a deployment and runs a function beside it.
void runDeployment(
    PlatformDeploymentOptions o,
    std::function<Awaitable<void>(PlatformDeployment &, http::Client &)> f) {
  IoContext io(1);
  PlatformDeployment deployment(io, std::move(o));
  http::Client client(io);
  bool ready = false;
  spawn(io, "case", [&]() -> Awaitable<void> {
    ready = co_await deployment.bringUp(StartTime);
    if (ready)
      co_await f(deployment, client);
    io.stop();
  });
  io.run();
  REQUIRE(ready);
}

std::vector<Relay *> linksTo(PlatformDeployment &deployment) {
  std::vector<Relay *> out;
  for (DeployedWorker &it : deployment.Workers)
    out.push_back(it.Link.get());
  return out;
}

/// Returns the begin of a response without a length, or nothing for requests
/// without a long body.
std::string answerUpload(std::string_view request) {
  bool isUpload =
      request.find("Content-Length: " + std::to_string(UploadBytes)) !=
      std::string::npos;
  size_t at = request.find(names::RequestId);
  if (!isUpload || at == std::string::npos)
    return "";
  std::string id(request.substr(at, request.find("\r\n", at) - at));
  bool isStream = request.find(names::TokenCounts) != std::string::npos;
  return "HTTP/1.1 200 OK\r\n" + id + "\r\n" + std::string(names::ServerSeal) +
         ": stand-in\r\n" +
         (isStream ? "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"
                   : "\r\nthe part that was sent before the reset");
}

struct Answer {
  bool IsComplete = false;
  unsigned Status = 0;
  bool IsSigned = false;
};

Awaitable<Answer> upload(http::Client &client, http::Endpoint daemon,
                         std::string route) {
  http::Request request = makeCall(makeId(), route, Deadline);
  request.Body.assign(UploadBytes, 'a');
  http::CallOptions options;
  options.Timeout = Deadline;
  options.ResendOnStale = false;
  Answer out;
  try {
    http::Response response =
        co_await client.call(daemon, std::move(request), std::move(options));
    out.IsComplete = true;
    out.Status = response.Status;
    out.IsSigned = response.Fields.find(names::ServerSeal).has_value();
  } catch (const http::TransportError &) {
    out.IsComplete = false;
  }
  co_return out;
}

bool isOwnFailure(const CallResult &it) {
  bool isFailed = it.Outcome == DaemonCallOutcome::Rejected ||
                  it.Outcome == DaemonCallOutcome::Failed;
  return isFailed && it.Status >= 500 && it.Status <= 599;
}

/// Lets the first server of each service answer with the status 000.
void harmFirstServers(PlatformDeployment &deployment) {
  std::set<std::string> seen;
  for (DeployedWorker &it : deployment.Workers)
    if (it.Stage != "prefill" && seen.insert(it.Service).second)
      it.Link->replaceFromTarget("HTTP/1.1 200 ", "HTTP/1.1 000 ");
}

size_t countRuns(const PlatformDeployment &deployment, const std::string &id) {
  std::vector<WorkerEvent> history = readHistory(deployment.historyFile());
  return static_cast<size_t>(
      std::count_if(history.begin(), history.end(), [&](const auto &it) {
        return it.Request == id && it.Action == "run";
      }));
}

} // namespace

// Guards against a part of a response that reaches the caller as the whole.
TEST_CASE("responses that are reset beside an upload are not complete for any "
          "route",
          "[process]") {
  runDeployment(
      options(1),
      [](PlatformDeployment &d, http::Client &client) -> Awaitable<void> {
        for (Relay *it : linksTo(d))
          it->setEarlyAnswer(answerUpload);
        for (const char *route : Routes) {
          INFO(route);
          for (size_t i = 0; i < Uploads; ++i) {
            http::Endpoint to = d.Daemons[0].HttpListen;
            Answer answer = co_await upload(client, to, route);
            bool isFailure = answer.Status >= 500 && !answer.IsSigned;
            CHECK((!answer.IsComplete || isFailure));
          }
        }
        size_t early = 0;
        for (Relay *it : linksTo(d))
          early += it->earlyAnswers();
        CHECK(early >= Routes.size() * Uploads);
      });
}

// Guards against answers of a server in trouble that no caller can read.
TEST_CASE("answers whose status is not in use reach no caller", "[process]") {
  for (const char *status : {"000", "099", "600", "999"}) {
    INFO("status " << status);
    runDeployment(
        options(1),
        [&](PlatformDeployment &d, http::Client &client) -> Awaitable<void> {
          for (Relay *it : linksTo(d))
            it->replaceFromTarget("HTTP/1.1 200 ",
                                  "HTTP/1.1 " + std::string(status) + " ");
          for (const char *route : Routes) {
            INFO(route);
            for (size_t i = 0; i < Calls; ++i) {
              http::Endpoint to = d.Daemons[0].HttpListen;
              CallResult r = co_await callDaemon(client, to, route, Deadline);
              INFO(r.Id << ", status " << r.Status);
              CHECK(isOwnFailure(r));
              CHECK((std::string_view(route) != OnceRoute ||
                     countRuns(d, r.Id) <= 1));
            }
          }
        });
  }
}

TEST_CASE(
    "a server whose answers have no valid status does not harm those that "
    "others can give",
    "[process]") {
  runDeployment(
      options(1),
      [](PlatformDeployment &d, http::Client &client) -> Awaitable<void> {
        harmFirstServers(d);
        for (const char *route : {RepeatableRoute, ResumableRoute}) {
          size_t correct = 0;
          for (size_t i = 0; i < Calls; ++i) {
            http::Endpoint to = d.Daemons[0].HttpListen;
            CallResult r = co_await callDaemon(client, to, route, Deadline);
            correct += r.Outcome == DaemonCallOutcome::Correct ? 1 : 0;
          }
          INFO(route);
          CHECK(correct == Calls);
        }
      });
}

TEST_CASE("a daemon serves on while the store answers without a valid status",
          "[process]") {
  runDeployment(
      options(2),
      [](PlatformDeployment &d, http::Client &client) -> Awaitable<void> {
        for (DeployedDaemon &it : d.Daemons) {
          it.StoreLink->replaceFromTarget("HTTP/1.1 200 ", "HTTP/1.1 000 ");
          it.StoreLink->closeOpenConnections();
        }
        co_await sleepFor(Milliseconds(1'000));
        for (const char *route : Routes)
          for (size_t i = 0; i < Calls; ++i) {
            http::Endpoint to = d.Daemons[i % 2].HttpListen;
            CallResult r = co_await callDaemon(client, to, route, Deadline);
            INFO(route << " " << r.Id << ", status " << r.Status);
            CHECK(r.Outcome == DaemonCallOutcome::Correct);
          }
      });
}

// Guards against prompt parts that are blocked since a server in trouble counts
// as crashed by them.
TEST_CASE(
    "a server whose answers have no valid status does not count as crashed",
    "[process]") {
  runDeployment(
      options(1),
      [](PlatformDeployment &d, http::Client &client) -> Awaitable<void> {
        harmFirstServers(d);
        for (size_t i = 0; i < Calls; ++i)
          for (const char *route : {RepeatableRoute, StreamRoute}) {
            http::Endpoint to = d.Daemons[0].HttpListen;
            co_await callDaemon(client, to, route, Deadline);
          }
        // The checks of the servers have ended.
        co_await sleepFor(Milliseconds(500));
        http::Request request;
        request.Target = "/metrics";
        http::Endpoint to = d.Daemons[0].Metrics;
        http::Response metrics = co_await client.call(to, request);
        REQUIRE(metrics.Status == http::StatusOk);
        CHECK(metrics.Body.find("sardineford_server_crashes_total{") ==
              std::string::npos);
      });
}

TEST_CASE("answers without a valid status, and those that are reset beside an "
          "upload, do not pass through a peer",
          "[process]") {
  PlatformDeploymentOptions o = options(2);
  o.SeparateLinks = true;
  runDeployment(
      o, [](PlatformDeployment &d, http::Client &client) -> Awaitable<void> {
        for (const std::unique_ptr<Relay> &it : d.Daemons[0].Links) {
          it->setMode(LinkMode::RefuseNew);
          it->closeOpenConnections();
        }
        http::Endpoint to = d.Daemons[0].HttpListen;
        size_t served = 0;
        for (size_t i = 0; i < Calls; ++i) {
          CallResult r =
              co_await callDaemon(client, to, RepeatableRoute, Deadline);
          served += r.Outcome == DaemonCallOutcome::Correct ? 1 : 0;
        }
        // Requests pass through the peer.
        CHECK(served > 0);
        for (const std::unique_ptr<Relay> &it : d.Daemons[1].Links)
          it->setEarlyAnswer(answerUpload);
        for (const char *route : Routes) {
          Answer answer = co_await upload(client, to, route);
          INFO(route);
          CHECK((!answer.IsComplete ||
                 (answer.Status >= 500 && !answer.IsSigned)));
        }
        for (const std::unique_ptr<Relay> &it : d.Daemons[1].Links) {
          it->setEarlyAnswer({});
          it->replaceFromTarget("HTTP/1.1 200 ", "HTTP/1.1 000 ");
        }
        for (const char *route : Routes)
          for (size_t i = 0; i < Calls; ++i) {
            CallResult r = co_await callDaemon(client, to, route, Deadline);
            INFO(route << " " << r.Id << ", status " << r.Status);
            CHECK(isOwnFailure(r));
          }
      });
}
