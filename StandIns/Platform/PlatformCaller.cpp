#include "StandIns/Platform/PlatformCaller.h"

#include "Sardineford/Common/Random.h"
#include "StandIns/Platform/PlatformDeployment.h"
#include "StandIns/Platform/PlatformWorker.h"
#include "platform/Names.h"

namespace sardineford::standins {

namespace names = platform::names;

namespace {

std::string expectedResponse(const std::string &id, bool stream) {
  if (!stream)
    return expectedBody(id);
  std::string out;
  for (uint64_t i = 1; i <= expectedEvents(id); ++i)
    out += expectedEvent(id, i);
  return out;
}

bool isNeverExecuted(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool isStream(const std::string &route) {
  return route == ResumableRoute || route == StreamRoute;
}

} // namespace

http::Request makeCall(const std::string &id, const std::string &route,
                       Milliseconds deadline) {
  http::Request r;
  r.Method = route == RepeatableRoute ? "GET" : "POST";
  r.Target = route + "1";
  r.Fields.add("Host", DeploymentHost);
  r.Fields.add(std::string(names::RequestId), id);
  r.Fields.add(std::string(names::DeadlineMs),
               std::to_string(deadline.count()));
  if (!isStream(route))
    return r;
  r.Fields.add(std::string(names::Model), "m");
  r.Fields.add(std::string(names::TokenCounts), "900,80");
  r.Fields.add(std::string(names::PromptPrefix), "5c:500,91bd:300,e4:100");
  return r;
}

Awaitable<CallResult> callDaemon(http::Client &client, http::Endpoint daemon,
                                 std::string route, Milliseconds deadline) {
  CallResult out;
  out.Id = makeId();
  out.Route = route;
  bool stream = isStream(route);
  http::Request request = makeCall(out.Id, route, deadline);
  http::CallOptions options;
  options.Timeout = deadline;
  options.ResendOnStale = false;
  MonoTime start = MonoClock::now();
  bool gotHead = false;
  try {
    std::unique_ptr<http::ResponseStream> response =
        co_await client.open(daemon, std::move(request), options);
    gotHead = true;
    out.Status = response->head().Status;
    out.HasRetryAfter = response->head().Fields.find("Retry-After").has_value();
    std::string body;
    for (;;) {
      std::string chunk = co_await response->read(deadline);
      if (chunk.empty())
        break;
      body += chunk;
    }
    if (out.Status == 200)
      out.Outcome = body == expectedResponse(out.Id, stream)
                        ? DaemonCallOutcome::Correct
                        : DaemonCallOutcome::Incorrect;
    else
      out.Outcome = isNeverExecuted(out.Status) ? DaemonCallOutcome::Rejected
                                                : DaemonCallOutcome::Failed;
  } catch (const http::TransportError &e) {
    bool nothingSent = e.Stage == http::TransportStage::NothingSent;
    out.Outcome = nothingSent && !gotHead ? DaemonCallOutcome::NotSent
                                          : DaemonCallOutcome::Disconnected;
  }
  out.Elapsed = toMilliseconds(MonoClock::now() - start);
  co_return out;
}

} // namespace sardineford::standins
