#include "Sardineford/Common/Random.h"
#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"
#include "StandIns/Platform/PlatformWorker.h"
#include "platform/Names.h"

#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <string>
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
