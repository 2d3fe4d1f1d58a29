#include "Gateway/State.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Http/Status.h"
#include "Sardineford/Routing/ServiceChoice.h"

#include <algorithm>
#include <set>

namespace sardineford::gateway {

namespace {

using fleet::FailureKind;
using fleet::ServerPtr;

/// Timeout of an attempt that can be retried, as a multiple of the mean
/// response time.
constexpr double AttemptTimeoutFactor = 5;
/// Longest timeout of an attempt that can be retried, as a ratio of the
/// remaining time.
constexpr double MaxAttemptTimeRatio = 0.5;
constexpr double ResponseTimeWeight = 0.05;

/// Complete response of a backend server, or the reason that there is none.
struct AttemptResponse {
  AttemptOutcome Outcome = AttemptOutcome::Unknown;
  std::optional<http::Response> Response;
  std::string Detail;
};

ServerPtr chooseServer(SharedState &shared, const RequestContext &context,
                       const std::set<std::string> &triedServers) {
  std::vector<routing::ServiceCandidate> candidates;
  std::vector<ServerPtr> servers;
  MonoTime now = MonoClock::now();
  for (const ServerPtr &it : shared.Servers.ofService(context.Service)) {
    if (triedServers.contains(it->Entry.Id))
      continue;
    candidates.push_back({it->Entry.FailureDomain == shared.FailureDomain,
                          it->requests(), it->Entry.Slots,
                          it->Health.failureRatio(),
                          it->Health.isEjected(now)});
    servers.push_back(it);
  }
  std::optional<size_t> i =
      routing::chooseServiceInstance(candidates, shared.Random);
  return i ? servers[*i] : nullptr;
}

/// Returns the timeout of one attempt: the remaining time, or less if the
/// request is repeatable and another server is available for a retry.
Milliseconds attemptTimeout(SharedState &shared, const RequestContext &context,
                            const std::set<std::string> &triedServers) {
  Milliseconds remaining = context.remainingTime();
  bool mayRetry =
      context.Route->mayRepeat() &&
      static_cast<int>(context.Attempts.sentCount()) + 1 <
          context.Route->MaxAttempts &&
      shared.Servers.ofService(context.Service).size() > triedServers.size() &&
      shared.service(context.Service).RetryBudget.remaining(MonoClock::now()) >=
          1;
  if (!mayRetry)
    return remaining;
  Milliseconds typical = toMilliseconds(
      shared.service(context.Service).MeanResponseTime * AttemptTimeoutFactor);
  Milliseconds longest =
      toMilliseconds(Seconds(remaining) * MaxAttemptTimeRatio);
  return std::min(longest, std::max(typical, context.Route->Objective));
}

Awaitable<AttemptResponse> sendAttempt(SharedState &shared,
                                       RequestContext &context,
                                       ServerPtr server, Milliseconds timeout) {
  AttemptResponse result;
  AttemptOptions attemptOptions;
  attemptOptions.ServerId = server->Entry.Id;
  attemptOptions.RemainingTime = context.remainingTime();
  http::Request request =
      shared.Protocol.makeAttemptRequest(context.Request, attemptOptions);
  bool fresh = !context.Route->mayRepeat();
  http::CallOptions options = attemptCallOptions(context, fresh, timeout);
  MonoTime readDeadline = MonoClock::now() + timeout;
  try {
    std::unique_ptr<http::ResponseStream> stream = co_await shared.Client.open(
        server->Entry.Address, std::move(request), std::move(options));
    http::Response response = stream->head();
    ResponseHead head = shared.Protocol.decodeHead(response);
    result.Detail = validateResponse(head, response, context.Request.Id);
    if (!result.Detail.empty()) {
      stream->close();
      server->Health.recordFailure(FailureKind::Broken, MonoClock::now());
      co_return result;
    }
    for (;;) {
      Milliseconds remaining = toMilliseconds(readDeadline - MonoClock::now());
      std::string chunk =
          co_await stream->read(std::max(remaining, Milliseconds(1)));
      if (chunk.empty())
        break;
      response.Body += chunk;
    }
    if (head.NotExecuted) {
      result.Outcome = AttemptOutcome::NotExecuted;
      result.Detail = "rejected with status " + std::to_string(response.Status);
      recordRejection(shared, server, head);
      co_return result;
    }
    result.Outcome = AttemptOutcome::Answered;
    if (response.Status >= http::StatusInternalServerError)
      result.Detail =
          "the server responded with status " + std::to_string(response.Status);
    result.Response = std::move(response);
  } catch (const http::TransportError &e) {
    result.Detail = e.what();
    bool sent = e.Stage == http::TransportStage::Sent;
    result.Outcome = sent ? AttemptOutcome::Unknown : AttemptOutcome::NeverSent;
    recordTransportFault(context, *server, e);
  }
  co_return result;
}

void recordResponse(SharedState &shared, RequestContext &context,
                    const ServerPtr &server, const AttemptResponse &response,
                    Milliseconds duration) {
  if (response.Response->Status >= http::StatusInternalServerError) {
    server->Health.recordFailure(FailureKind::ServerError, MonoClock::now());
    return;
  }
  server->Health.recordSuccess(MonoClock::now());
  Seconds &mean = shared.service(context.Service).MeanResponseTime;
  mean += (Seconds(duration) - mean) * ResponseTimeWeight;
}

Awaitable<void> forwardResponse(SharedState &shared, RequestContext &context,
                                http::Response backendResponse) {
  context.Status = backendResponse.Status;
  context.Outcome = "answered";
  context.TimeToFirstByte = context.elapsed();
  http::Response callerResponse =
      shared.Protocol.makeCallerResponse(std::move(backendResponse));
  co_await context.Out.send(std::move(callerResponse));
}

} // namespace

Awaitable<void> servePlain(SharedState &shared, RequestContext &context) {
  std::set<std::string> triedServers;
  std::optional<http::Response> errorResponse;
  std::string detail = "no backend server is available";
  FailureCause cause = FailureCause::NoServer;
  for (;;) {
    if (context.remainingTime() <= Milliseconds(0)) {
      context.NoRetryReason = "the deadline has passed";
      cause = FailureCause::TimedOut;
      break;
    }
    ServerPtr server = chooseServer(shared, context, triedServers);
    if (!server) {
      context.NoRetryReason = "no other server is available";
      break;
    }
    if (!triedServers.empty() && !acquireRetry(shared, context))
      break;
    triedServers.insert(server->Entry.Id);
    Milliseconds timeout = attemptTimeout(shared, context, triedServers);
    size_t attempt = context.Attempts.add(server->Entry.Id);
    MonoTime start = MonoClock::now();
    AttemptResponse result;
    {
      Reservation inFlight(shared, server, fleet::WorkPriority::Urgent, 0);
      result = co_await sendAttempt(shared, context, server, timeout);
    }
    context.Attempts.setOutcome(attempt, result.Outcome);
    Milliseconds duration = toMilliseconds(MonoClock::now() - start);
    logAttempt(context, *server,
               {"run", result.Outcome,
                shared.service(context.Service).MeanResponseTime, timeout,
                duration, result.Detail});
    if (context.CallerGone)
      co_return;
    cause = FailureCause::Failed;
    if (!result.Response) {
      detail = result.Detail;
      continue;
    }
    recordResponse(shared, context, server, result, duration);
    bool serverFailed =
        result.Response->Status >= http::StatusInternalServerError;
    if (!serverFailed || !context.Route->mayRepeat()) {
      co_await forwardResponse(shared, context, std::move(*result.Response));
      co_return;
    }
    // The caller receives the error response of the server if no retry
    // succeeds.
    errorResponse = std::move(result.Response);
  }
  if (errorResponse) {
    co_await forwardResponse(shared, context, std::move(*errorResponse));
    co_return;
  }
  co_await failRequest(shared, context, cause, std::move(detail), std::nullopt);
}

} // namespace sardineford::gateway
