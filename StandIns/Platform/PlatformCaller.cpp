#include "StandIns/Platform/PlatformCaller.h"

#include "Sardineford/Common/Random.h"
#include "Sardineford/Http/Status.h"
#include "StandIns/Platform/PlatformDeployment.h"
#include "StandIns/Platform/PlatformWorker.h"
#include "platform/Names.h"

#include <cstdlib>
#include <functional>
#include <optional>

namespace sardineford::standins {

namespace names = platform::names;

namespace {

/// Pause of a caller that found no daemon at an address.
constexpr Milliseconds ReconnectDelay{20};
/// Time after its deadline for which a caller reads a response.
constexpr Milliseconds LateResponseTime{4'000};

/// Number of prompts that requests share. Each prefers another engine.
constexpr uint64_t SharedPrompts = 8;

/// What a caller has received of a stream over all its requests.
struct ReceivedStream {
  /// Empty until the first event.
  std::string Id;
  uint64_t Events = 0;
  std::set<std::string> Versions;
  /// An event differs from the expected event of every version.
  bool HasUnexpectedEvent = false;
  /// Beginning of an event.
  std::string Pending;
};

void receiveEvents(ReceivedStream &s, const std::string &requestId,
                   const std::string &chunk) {
  constexpr std::string_view EndOfEvent = "\n\n";
  s.Pending += chunk;
  for (size_t end = s.Pending.find(EndOfEvent); end != std::string::npos;
       end = s.Pending.find(EndOfEvent)) {
    end += EndOfEvent.size();
    std::string event = s.Pending.substr(0, end);
    s.Pending.erase(0, end);
    if (s.Id.empty())
      s.Id = requestId;
    ++s.Events;
    bool expected = false;
    for (const char *it : SoftwareVersions) {
      if (event != expectedEvent(s.Id, s.Events, it))
        continue;
      s.Versions.insert(it);
      expected = true;
    }
    s.HasUnexpectedEvent |= !expected;
  }
}

bool isNeverExecuted(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool isPlainRoute(const std::string &route) {
  return route == OnceRoute || route == RepeatableRoute ||
         route == ResumableRoute || route == StreamRoute;
}

bool isStream(const std::string &route) {
  return route.starts_with(ResumableRoute) || route.starts_with(StreamRoute);
}

bool hasWholeResponse(const CallResult &r) {
  return r.Outcome == DaemonCallOutcome::Correct;
}

/// Sends one request and passes the parts of a response with status 200 to the
/// function. The outcome is Correct if the response is complete; its content is
/// not compared. Returns the time in Retry-After.
Awaitable<std::optional<Milliseconds>>
exchange(http::Client &client, http::Endpoint daemon, http::Request request,
         http::CallOptions options, CallResult &out,
         std::function<void(const std::string &)> receive) {
  MonoTime end = MonoClock::now() + options.Timeout + LateResponseTime;
  std::optional<Milliseconds> retryAfter;
  out.Status = 0;
  out.HasRetryAfter = false;
  bool gotHead = false;
  try {
    std::unique_ptr<http::ResponseStream> response =
        co_await client.open(daemon, std::move(request), options);
    gotHead = true;
    out.Status = response->head().Status;
    std::optional<std::string> seconds =
        response->head().Fields.find("Retry-After");
    out.HasRetryAfter = seconds.has_value();
    if (seconds)
      retryAfter =
          toMilliseconds(fromSeconds(std::strtod(seconds->c_str(), nullptr)));
    for (;;) {
      std::string chunk =
          co_await response->read(toMilliseconds(end - MonoClock::now()));
      if (chunk.empty())
        break;
      if (out.Status == http::StatusOk)
        receive(chunk);
    }
    if (out.Status == http::StatusOk)
      out.Outcome = DaemonCallOutcome::Correct;
    else
      out.Outcome = isNeverExecuted(out.Status) ? DaemonCallOutcome::Rejected
                                                : DaemonCallOutcome::Failed;
  } catch (const http::TransportError &e) {
    bool nothingSent = e.Stage == http::TransportStage::NothingSent;
    out.Outcome = nothingSent && !gotHead ? DaemonCallOutcome::NotSent
                                          : DaemonCallOutcome::Disconnected;
  }
  co_return retryAfter;
}

void judgeStream(const ReceivedStream &s, CallResult &out) {
  out.Versions = s.Versions;
  bool isWhole = s.Pending.empty() && s.Events == expectedEvents(out.Id);
  if (s.Versions.size() > 1)
    out.Outcome = DaemonCallOutcome::MixedVersions;
  else if (s.HasUnexpectedEvent || (hasWholeResponse(out) && !isWhole))
    out.Outcome = DaemonCallOutcome::Incorrect;
}

/// Builds a request. `promptId` is that of the first request for a stream,
/// which decides on its prompt. The last part of a prompt is its own.
http::Request makeRequest(const std::string &id, const std::string &promptId,
                          const std::string &route, Milliseconds deadline,
                          std::string sharedParts) {
  http::Request r;
  r.Method = route.starts_with(RepeatableRoute) ? "GET" : "POST";
  r.Target = route + "1";
  // Requests of the plain routes are no repeats of each other.
  if (isPlainRoute(route))
    r.Target += "?" + id;
  r.Fields.add("Host", DeploymentHost);
  r.Fields.add(std::string(names::RequestId), id);
  r.Fields.add(std::string(names::DeadlineMs),
               std::to_string(deadline.count()));
  if (!isStream(route))
    return r;
  r.Fields.add(std::string(names::Model), "m");
  r.Fields.add(std::string(names::TokenCounts), "900,80");
  if (sharedParts.empty())
    sharedParts =
        std::to_string(hash64(promptId) % SharedPrompts) + ":500,91bd:300";
  r.Fields.add(std::string(names::PromptPrefix),
               sharedParts + "," + promptId + ":100");
  return r;
}

} // namespace

http::Request makeCall(const std::string &id, const std::string &route,
                       Milliseconds deadline, std::string sharedParts) {
  return makeRequest(id, id, route, deadline, std::move(sharedParts));
}

Awaitable<CallResult> callStream(http::Client &client,
                                 std::vector<http::Endpoint> daemons,
                                 std::string route, Milliseconds deadline,
                                 std::string sharedParts) {
  CallResult out;
  out.Route = route;
  ReceivedStream s;
  MonoTime start = MonoClock::now();
  MonoTime end = start + deadline;
  bool isFirst = true;
  std::string promptId;
  for (const http::Endpoint &it : daemons) {
    Milliseconds remaining = toMilliseconds(end - MonoClock::now());
    if (remaining <= Milliseconds(0))
      break;
    std::string requestId = makeId();
    if (promptId.empty())
      promptId = requestId;
    http::Request request =
        makeRequest(requestId, promptId, route, remaining, sharedParts);
    uint64_t eventsBefore = s.Events;
    if (eventsBefore > 0) {
      request.Fields.add(std::string(ResumesHeader), s.Id);
      request.Fields.add(std::string(names::LastEventId),
                         std::to_string(eventsBefore));
    }
    http::CallOptions options;
    options.Timeout = remaining;
    options.ResendOnStale = false;
    options.FreshConnection = !isFirst;
    isFirst = false;
    s.Pending.clear();
    std::function<void(const std::string &)> receive =
        [&s, &requestId](const std::string &chunk) {
          receiveEvents(s, requestId, chunk);
        };
    std::optional<Milliseconds> retryAfter =
        co_await exchange(client, it, std::move(request), std::move(options),
                          out, std::move(receive));
    out.Id = s.Id.empty() ? requestId : s.Id;
    if (out.Outcome == DaemonCallOutcome::NotSent) {
      co_await sleepFor(ReconnectDelay);
      continue;
    }
    bool goesOn = s.Events > eventsBefore || hasWholeResponse(out);
    ++(eventsBefore > 0 ? out.TakeUps : out.Begins);
    out.ContinuedTakeUps += eventsBefore > 0 && goesOn ? 1 : 0;
    if (hasWholeResponse(out) || s.HasUnexpectedEvent)
      break;
    if (retryAfter && MonoClock::now() + *retryAfter >= end)
      break;
    if (retryAfter && &it != &daemons.back())
      co_await sleepFor(*retryAfter);
  }
  judgeStream(s, out);
  out.Elapsed = toMilliseconds(MonoClock::now() - start);
  co_return out;
}

Awaitable<CallResult> callDaemon(http::Client &client, http::Endpoint daemon,
                                 std::string route, Milliseconds deadline,
                                 std::string sharedParts) {
  if (isStream(route)) {
    std::vector<http::Endpoint> daemons(1, daemon);
    co_return co_await callStream(client, std::move(daemons), std::move(route),
                                  deadline, std::move(sharedParts));
  }
  CallResult out;
  out.Id = makeId();
  out.Route = route;
  http::Request request = makeCall(out.Id, route, deadline);
  http::CallOptions options;
  options.Timeout = deadline;
  options.ResendOnStale = false;
  MonoTime start = MonoClock::now();
  std::string body;
  std::function<void(const std::string &)> receive =
      [&body](const std::string &chunk) { body += chunk; };
  co_await exchange(client, daemon, std::move(request), std::move(options), out,
                    std::move(receive));
  if (hasWholeResponse(out) && body != expectedBody(out.Id))
    out.Outcome = DaemonCallOutcome::Incorrect;
  out.Elapsed = toMilliseconds(MonoClock::now() - start);
  co_return out;
}

} // namespace sardineford::standins
