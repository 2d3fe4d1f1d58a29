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

/// A repeatable call that takes this many times the typical time is tried
/// elsewhere.
constexpr double PatienceFactor = 5;
/// Part of the time left that the first of several tries may take.
constexpr double PatienceShare = 0.5;
constexpr double NewestAnswerWeight = 0.05;

/// A whole answer of a backend server, or why there is none.
struct Answer {
  AttemptOutcome Outcome = AttemptOutcome::Unknown;
  std::optional<http::Response> Response;
  std::string Detail;
};

ServerPtr choose(SharedState &s, const RequestContext &c,
                 const std::set<std::string> &tried) {
  std::vector<routing::ServiceCandidate> candidates;
  std::vector<ServerPtr> servers;
  MonoTime now = MonoClock::now();
  for (const ServerPtr &it : s.Servers.ofService(c.Service)) {
    if (tried.contains(it->Entry.Id))
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
Milliseconds patience(SharedState &s, const RequestContext &c,
                      const std::set<std::string> &tried) {
  Milliseconds left = c.remainingTime();
  bool mayTryAgain =
      c.Route->mayRepeat() &&
      static_cast<int>(c.Attempts.sentCount()) + 1 < c.Route->MaxAttempts &&
      s.Servers.ofService(c.Service).size() > tried.size() &&
      s.service(c.Service).RetryBudget.left(MonoClock::now()) >= 1;
  if (!mayTryAgain)
    return left;
  Milliseconds typical =
      toMilliseconds(s.service(c.Service).MeanResponseTime * PatienceFactor);
  Milliseconds most = toMilliseconds(Seconds(left) * PatienceShare);
  return std::min(most, std::max(typical, c.Route->Objective));
}

Awaitable<Answer> ask(SharedState &s, RequestContext &c, ServerPtr server,
                      Milliseconds timeout) {
  Answer out;
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
      Milliseconds wait = toMilliseconds(end - MonoClock::now());
      std::string piece =
          co_await stream->read(std::max(wait, Milliseconds(1)));
      if (piece.empty())
        break;
      r.Body += piece;
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

void learn(SharedState &s, RequestContext &c, const ServerPtr &server,
           const Answer &a, Milliseconds took) {
  if (a.Response->Status >= http::StatusServerFailed) {
    server->Faults.failed(FaultKind::Failed, MonoClock::now());
    return;
  }
  server->Faults.succeeded(MonoClock::now());
  Seconds &typical = s.service(c.Service).MeanResponseTime;
  typical += (Seconds(took) - typical) * NewestAnswerWeight;
}

Awaitable<void> pass(SharedState &s, RequestContext &c, http::Response r) {
  c.Status = r.Status;
  c.Outcome = "answered";
  c.TimeToFirstByte = c.elapsed();
  http::Response answer = s.Protocol.makeCallerResponse(std::move(r));
  co_await c.Out.send(std::move(answer));
}

} // namespace

Awaitable<void> servePlain(SharedState &s, RequestContext &c) {
  std::set<std::string> tried;
  std::optional<http::Response> failed;
  std::string detail = "no backend server is known";
  FailureCause cause = FailureCause::NoServer;
  for (;;) {
    if (c.remainingTime() <= Milliseconds(0)) {
      c.NoRetryReason = "no time is left";
      cause = FailureCause::TimedOut;
      break;
    }
    ServerPtr server = choose(s, c, tried);
    if (!server) {
      c.NoRetryReason = "no other server is known";
      break;
    }
    if (!tried.empty() && !acquireRetry(s, c))
      break;
    tried.insert(server->Entry.Id);
    Milliseconds timeout = patience(s, c, tried);
    size_t attempt = c.Attempts.add(server->Entry.Id);
    MonoTime start = MonoClock::now();
    Answer a;
    {
      Reservation inFlight(server, fleet::WorkRank::Urgent, 0);
      a = co_await ask(s, c, server, timeout);
    }
    c.Attempts.setOutcome(attempt, a.Outcome);
    Milliseconds took = toMilliseconds(MonoClock::now() - start);
    logAttempt(c, *server,
               {"run", a.Outcome, s.service(c.Service).MeanResponseTime,
                timeout, took, a.Detail});
    if (c.CallerGone)
      co_return;
    cause = FailureCause::Failed;
    if (!a.Response) {
      detail = a.Detail;
      continue;
    }
    learn(s, c, server, a, took);
    bool serverFailed = a.Response->Status >= http::StatusServerFailed;
    if (!serverFailed || !c.Route->mayRepeat()) {
      co_await pass(s, c, std::move(*a.Response));
      co_return;
    }
    // A server's own failure is what the caller gets when no other try helps.
    failed = std::move(a.Response);
  }
  if (failed) {
    co_await pass(s, c, std::move(*failed));
    co_return;
  }
  co_await failRequest(s, c, cause, std::move(detail), std::nullopt);
}

} // namespace sardineford::gateway
