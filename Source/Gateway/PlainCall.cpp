#include "Gateway/State.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Http/Status.h"
#include "Sardineford/Routing/ServiceChoice.h"

#include <algorithm>
#include <set>

namespace sardineford::gateway {

namespace {

using fleet::FaultKind;
using fleet::ServerPtr;

/// A repeatable call that takes this many times the typical time is
/// triedServers elsewhere.
constexpr double AttemptTimeoutFactor = 5;
/// Part of the time left that the first of several tries may take.
constexpr double MaxAttemptTimeRatio = 0.5;
constexpr double ResponseTimeWeight = 0.05;

/// A whole answer of a backend server, or why there is none.
struct AttemptResponse {
  AttemptOutcome Outcome = AttemptOutcome::Unknown;
  std::optional<http::Response> Response;
  std::string Detail;
};

ServerPtr chooseServer(SharedState &s, const RequestContext &c,
                       const std::set<std::string> &triedServers) {
  std::vector<routing::ServiceCandidate> candidates;
  std::vector<ServerPtr> servers;
  MonoTime now = MonoClock::now();
  for (const ServerPtr &it : s.Servers.ofService(c.Service)) {
    if (triedServers.contains(it->Entry.Id))
      continue;
    candidates.push_back({it->Entry.FailureDomain == s.FailureDomain,
                          it->requests(), it->Entry.Slots,
                          it->Faults.failureShare(),
                          it->Faults.isHeldOff(now)});
    servers.push_back(it);
  }
  std::optional<size_t> i = routing::chooseService(candidates, s.Random);
  return i ? servers[*i] : nullptr;
}

/// How long one try may take. Only what may be repeated, and has somewhere to
/// go, is cut short.
Milliseconds attemptTimeout(SharedState &s, const RequestContext &c,
                            const std::set<std::string> &triedServers) {
  Milliseconds remaining = c.remainingTime();
  bool mayRetry =
      c.Route->mayRepeat() &&
      static_cast<int>(c.Attempts.sentCount()) + 1 < c.Route->MaxAttempts &&
      s.Servers.ofService(c.Service).size() > triedServers.size() &&
      s.service(c.Service).RetryBudget.left(MonoClock::now()) >= 1;
  if (!mayRetry)
    return remaining;
  Milliseconds typical = toMilliseconds(s.service(c.Service).MeanResponseTime *
                                        AttemptTimeoutFactor);
  Milliseconds longest =
      toMilliseconds(Seconds(remaining) * MaxAttemptTimeRatio);
  return std::min(longest, std::max(typical, c.Route->Objective));
}

Awaitable<AttemptResponse> sendAttempt(SharedState &s, RequestContext &c,
                                       ServerPtr server, Milliseconds timeout) {
  AttemptResponse out;
  AttemptOptions attemptOptions;
  attemptOptions.ServerId = server->Entry.Id;
  attemptOptions.RemainingTime = c.remainingTime();
  http::Request request =
      s.Protocol.makeAttemptRequest(c.Request, attemptOptions);
  bool fresh = !c.Route->mayRepeat();
  http::CallOptions options = attemptCallOptions(c, fresh, timeout);
  MonoTime end = MonoClock::now() + timeout;
  MonoTime now;
  try {
    std::unique_ptr<http::ResponseStream> stream = co_await s.Client.open(
        server->Entry.Address, std::move(request), std::move(options));
    http::Response r = stream->head();
    ResponseHead head = s.Protocol.decodeHead(r);
    out.Detail = validateResponse(head, r, c.Request.Id);
    if (!out.Detail.empty()) {
      stream->close();
      server->Faults.failed(FaultKind::Broken, MonoClock::now());
      co_return out;
    }
    for (;;) {
      Milliseconds remaining = toMilliseconds(end - MonoClock::now());
      std::string chunk =
          co_await stream->read(std::max(remaining, Milliseconds(1)));
      if (chunk.empty())
        break;
      r.Body += chunk;
    }
    if (head.NotExecuted) {
      out.Outcome = AttemptOutcome::NotExecuted;
      out.Detail = "turned away with " + std::to_string(r.Status);
      recordRejection(s, server, head);
      co_return out;
    }
    out.Outcome = AttemptOutcome::Answered;
    if (r.Status >= http::StatusServerFailed)
      out.Detail = "the server answered " + std::to_string(r.Status);
    out.Response = std::move(r);
  } catch (const http::TransportError &e) {
    out.Detail = e.what();
    bool sent = e.Stage == http::TransportStage::Sent;
    out.Outcome = sent ? AttemptOutcome::Unknown : AttemptOutcome::NeverSent;
    recordTransportFault(c, *server, e);
  }
  co_return out;
}

void recordResponse(SharedState &s, RequestContext &c, const ServerPtr &server,
                    const AttemptResponse &a, Milliseconds duration) {
  if (a.Response->Status >= http::StatusServerFailed) {
    server->Faults.failed(FaultKind::Failed, MonoClock::now());
    return;
  }
  server->Faults.succeeded(MonoClock::now());
  Seconds &typical = s.service(c.Service).MeanResponseTime;
  typical += (Seconds(duration) - typical) * ResponseTimeWeight;
}

Awaitable<void> forwardResponse(SharedState &s, RequestContext &c,
                                http::Response r) {
  c.Status = r.Status;
  c.Outcome = "answered";
  c.TimeToFirstByte = c.elapsed();
  http::Response answer = s.Protocol.makeCallerResponse(std::move(r));
  co_await c.Out.send(std::move(answer));
}

} // namespace

Awaitable<void> servePlain(SharedState &s, RequestContext &c) {
  std::set<std::string> triedServers;
  std::optional<http::Response> errorResponse;
  std::string detail = "no backend server is known";
  FailureCause cause = FailureCause::NoServer;
  for (;;) {
    if (c.remainingTime() <= Milliseconds(0)) {
      c.NoRetryReason = "no time is left";
      cause = FailureCause::TimedOut;
      break;
    }
    ServerPtr server = chooseServer(s, c, triedServers);
    if (!server) {
      c.NoRetryReason = "no other server is known";
      break;
    }
    if (!triedServers.empty() && !acquireRetry(s, c))
      break;
    triedServers.insert(server->Entry.Id);
    Milliseconds timeout = attemptTimeout(s, c, triedServers);
    size_t attempt = c.Attempts.add(server->Entry.Id);
    MonoTime start = MonoClock::now();
    AttemptResponse a;
    {
      Reservation inFlight(server, fleet::WorkRank::Urgent, 0);
      a = co_await sendAttempt(s, c, server, timeout);
    }
    c.Attempts.setOutcome(attempt, a.Outcome);
    Milliseconds duration = toMilliseconds(MonoClock::now() - start);
    logAttempt(c, *server,
               {"run", a.Outcome, s.service(c.Service).MeanResponseTime,
                timeout, duration, a.Detail});
    if (c.CallerGone)
      co_return;
    cause = FailureCause::Failed;
    if (!a.Response) {
      detail = a.Detail;
      continue;
    }
    recordResponse(s, c, server, a, duration);
    bool serverFailed = a.Response->Status >= http::StatusServerFailed;
    if (!serverFailed || !c.Route->mayRepeat()) {
      co_await forwardResponse(s, c, std::move(*a.Response));
      co_return;
    }
    // A server's own failure is what the caller gets when no other try helps.
    errorResponse = std::move(a.Response);
  }
  if (errorResponse) {
    co_await forwardResponse(s, c, std::move(*errorResponse));
    co_return;
  }
  co_await failRequest(s, c, cause, std::move(detail), std::nullopt);
}

} // namespace sardineford::gateway
