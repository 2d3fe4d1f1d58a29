#include "Gateway/CrashCheck.h"
#include "Gateway/PaceTracking.h"
#include "Gateway/PassOn.h"
#include "Gateway/ServerChoice.h"
#include "Gateway/State.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Http/Status.h"
#include "Sardineford/Retry/Silence.h"
#include "Sardineford/Routing/ServiceChoice.h"

#include <algorithm>
#include <set>

namespace sardineford::gateway {

namespace {

using fleet::FailureKind;
using fleet::ServerPtr;

/// Silence after which a request is attempted elsewhere, as a multiple of the
/// mean response time.
constexpr double AttemptTimeoutFactor = 5;
/// Longest such silence as a ratio of the remaining time.
constexpr double MaxAttemptTimeRatio = 0.5;
constexpr double ResponseTimeWeight = 0.05;
/// Intervals at which a request without a connection looks for one: the first,
/// and the longest, at which many waiting requests cost little.
constexpr Milliseconds FirstConnectionWait{5};
constexpr Milliseconds LongestConnectionWait{40};

struct OpenPlainAttempt : OpenAttempt {
  OpenPlainAttempt(SharedState &shared, ServerPtr server)
      : Server(std::move(server)),
        InFlight(shared, Server, fleet::WorkPriority::Urgent, 0) {}

  ServerPtr Server;
  Reservation InFlight;
  bool HeadReceived = false;
  ResponseHead Head;
  /// What has been received so far; the body once it is complete.
  http::Response Received;
  std::optional<http::BodyCollector> Body;
};

using OpenPlainAttemptPtr = std::unique_ptr<OpenPlainAttempt>;

/// What a request has received over all its attempts.
struct PlainProgress {
  std::set<std::string> TriedServers;
  std::vector<OpenPlainAttemptPtr> Open;
  /// Sent to the caller if no further attempt succeeds.
  std::optional<http::Response> ErrorResponse;
  FailureCause Cause = FailureCause::NoServer;
  /// Time after which a connection is looked for again.
  Milliseconds ConnectionWait = FirstConnectionWait;
  std::string Detail = "no backend server is available";
};

AvailableServers findUntriedServers(SharedState &shared,
                                    const RequestContext &context,
                                    const PlainProgress &progress) {
  return findAvailableServers(shared, context.Service,
                              [&](const fleet::ServerEntry &it) {
                                return !progress.TriedServers.contains(it.Id);
                              });
}

ServerPtr chooseServer(SharedState &shared, const std::string &service,
                       const AvailableServers &available) {
  std::vector<routing::ServiceCandidate> candidates;
  MonoTime now = MonoClock::now();
  const auto &loads = shared.service(service).Loads;
  for (const ServerPtr &it : available.Servers) {
    candidates.push_back({it->Entry.FailureDomain == shared.FailureDomain,
                          it->requests(), it->Entry.Slots,
                          it->Health.failureRatio(),
                          it->Health.isEjected(now)});
    auto load = loads.find(it->Entry.Id);
    if (load == loads.end())
      continue;
    candidates.back().ReportedRequests = load->second.work();
    candidates.back().TimeRatio = load->second.timeRatio();
    candidates.back().ReportWeight = load->second.weight(now);
  }
  std::optional<size_t> i =
      routing::chooseServiceInstance(candidates, shared.Random);
  return i ? available.Servers[*i] : nullptr;
}

/// Returns the silence of a server from which a repeatable request is attempted
/// at another one.
Milliseconds attemptPatience(SharedState &shared,
                             const RequestContext &context) {
  Milliseconds typical = toMilliseconds(
      shared.service(context.Service).MeanResponseTime * AttemptTimeoutFactor);
  Milliseconds longest =
      toMilliseconds(Seconds(context.remainingTime()) * MaxAttemptTimeRatio);
  return std::min(longest, std::max(typical, context.Route->Objective));
}

void endAttempt(SharedState &shared, RequestContext &context,
                const OpenPlainAttempt &attempt, AttemptOutcome outcome,
                std::string_view detail) {
  context.Attempts.setOutcome(attempt.Index, outcome);
  logAttempt(context, *attempt.Server,
             {"run", outcome, shared.service(context.Service).MeanResponseTime,
              attempt.Patience,
              toMilliseconds(MonoClock::now() - attempt.StartedAt), detail, 0,
              0, attempt.silence(), attempt.responseAge(),
              attempt.RequestLimit});
}

/// Sends the request to a server.
Awaitable<void> startAttempt(SharedState &shared, RequestContext &context,
                             PlainProgress &progress, ServerPtr server) {
  progress.TriedServers.insert(server->Entry.Id);
  recordSentRequest(shared, *server);
  auto attempt = std::make_unique<OpenPlainAttempt>(shared, server);
  AttemptOptions attemptOptions;
  attemptOptions.ServerId = server->Entry.Id;
  attemptOptions.RemainingTime = context.remainingTime();
  http::Request request =
      shared.Protocol.makeAttemptRequest(context.Request, attemptOptions);
  http::CallOptions options =
      attemptCallOptions(context, server->Entry.Address,
                         context.Route->mayRepeat(), context.remainingTime());
  attempt->Patience = attemptPatience(shared, context);
  attempt->Index = context.Attempts.add(server->Entry.Id);
  attempt->StartedAt = MonoClock::now();
  attempt->LastByteAt = attempt->StartedAt;
  try {
    attempt->Response = co_await shared.Client.send(
        server->Entry.Address, std::move(request), std::move(options));
  } catch (const http::TransportError &e) {
    recordTransportFault(shared, context, *server, e, false);
    if (e.Refused)
      recordRefusedConnection(shared, server);
    endAttempt(shared, context, *attempt, AttemptOutcome::NeverSent, e.what());
    progress.Cause = FailureCause::Failed;
    progress.Detail = e.what();
    co_return;
  }
  progress.Open.push_back(std::move(attempt));
}

/// Result of receiving from one attempt.
struct PlainAttemptResult {
  bool IsDone = false;
  AttemptOutcome Outcome = AttemptOutcome::Unknown;
  std::string Detail;
};

/// Receives what has arrived.
Awaitable<PlainAttemptResult> advanceAttempt(SharedState &shared,
                                             RequestContext &context,
                                             OpenPlainAttempt &attempt) {
  http::ResponseStream &stream = *attempt.Response;
  PlainAttemptResult done{true, AttemptOutcome::Unknown, ""};
  try {
    while (stream.isReady()) {
      attempt.LastByteAt = MonoClock::now();
      if (!attempt.HeadReceived) {
        co_await stream.receiveHead(http::ReadyTimeout);
        attempt.HeadReceived = true;
        recordContact(shared, *attempt.Server);
        attempt.RespondedAt = attempt.LastByteAt;
        attempt.Received = stream.head();
        attempt.Body.emplace(shared.Client.receiveMemory(), stream);
        attempt.Head = shared.Protocol.decodeHead(attempt.Received);
        attempt.RequestLimit = attempt.Head.RequestLimit;
        done.Detail = validateResponse(attempt.Head, attempt.Received,
                                       context.Request.Id);
        if (done.Detail.empty()) {
          if (!attempt.Head.NotExecuted)
            countUsage(shared, context);
          recordServerNotices(shared, attempt.Server->Entry, attempt.Head,
                              attempt.StartedAt);
          continue;
        }
        attempt.Server->Health.recordFailure(FailureKind::Broken,
                                             MonoClock::now());
        co_return done;
      }
      std::string chunk = co_await stream.read(http::ReadyTimeout);
      if (!chunk.empty()) {
        attempt.Body->append(chunk);
        continue;
      }
      attempt.Received.Body = attempt.Body->take();
      done.Outcome = AttemptOutcome::Answered;
      unsigned status = attempt.Received.Status;
      if (attempt.Head.NotExecuted) {
        done.Outcome = AttemptOutcome::NotExecuted;
        done.Detail = "rejected with status " + std::to_string(status);
        recordRejection(shared, attempt.Server, attempt.Head);
      } else if (status >= http::StatusInternalServerError) {
        done.Detail =
            "the server responded with status " + std::to_string(status);
      }
      co_return done;
    }
  } catch (const http::TransportError &e) {
    done.Detail = e.what();
    recordTransportFault(shared, context, *attempt.Server, e,
                         attempt.HeadReceived);
    if (!e.TimedOut && !context.CallerGone)
      recordBrokenAnswer(shared, requestSuspect(context), attempt.Server);
    co_return done;
  }
  co_return PlainAttemptResult{};
}

void recordResponse(SharedState &shared, RequestContext &context,
                    const OpenPlainAttempt &attempt) {
  if (attempt.Received.Status >= http::StatusInternalServerError) {
    attempt.Server->Health.recordFailure(FailureKind::ServerError,
                                         MonoClock::now());
    recordPaceFailure(shared, *attempt.Server, fleet::PaceEvent::Failed);
    return;
  }
  attempt.Server->Health.recordSuccess(MonoClock::now());
  std::vector<fleet::SuspectKey> suspects = requestSuspect(context);
  MonoTime now = MonoClock::now();
  if (shared.Findings.needsSoundAnswer(suspects, now))
    recordShortAnswer(shared, std::move(suspects), attempt.Server,
                      attempt.StartedAt);
  else
    shared.Findings.recordSound(suspects, attempt.StartedAt, now);
  // A pause says little about the speed of the service.
  Seconds duration = MonoClock::now() - attempt.StartedAt;
  if (attempt.WasSilent)
    duration = std::min<Seconds>(duration, attempt.Patience);
  Seconds &mean = shared.service(context.Service).MeanResponseTime;
  recordPaceAnswer(shared, *attempt.Server, duration, mean);
  mean += (duration - mean) * ResponseTimeWeight;
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

/// Decides how long to wait for the open attempts, and whether to make another
/// one.
retry::SilenceDecision decideNextStep(SharedState &shared,
                                      RequestContext &context,
                                      const PlainProgress &progress) {
  OpenPlainAttempt &newest = *progress.Open.back();
  retry::SilenceState state;
  state.Silence = newest.silence();
  state.Patience = newest.Patience;
  state.RemainingTime = context.remainingTime();
  bool isImpatient =
      context.Route->mayRepeat() && state.Silence >= state.Patience;
  state.MayRetry =
      isImpatient && findRetryObstacle(shared, context).empty() &&
      findBlock(shared, context, requestSuspect(context)).empty() &&
      !findUntriedServers(shared, context, progress).Servers.empty();
  if (isImpatient && !std::exchange(newest.WasSilent, true))
    recordSilence(shared, *newest.Server);
  return retry::decideOnSilence(state);
}

/// Waits before a connection is looked for again. Returns false if a request
/// that got one then would have no time left.
Awaitable<bool> waitForConnection(SharedState &shared, RequestContext &context,
                                  PlainProgress &progress) {
  Milliseconds wait = progress.ConnectionWait;
  Milliseconds needed =
      toMilliseconds(shared.service(context.Service).MeanResponseTime);
  if (context.remainingTime() <= wait + needed) {
    progress.Cause = FailureCause::Overloaded;
    progress.Detail = "no connection to a backend server is available";
    co_return false;
  }
  progress.ConnectionWait = std::min(wait * 2, LongestConnectionWait);
  co_await sleepFor(wait);
  co_return true;
}

/// Makes the next attempt, or waits for a connection. Returns false if none is
/// possible.
Awaitable<bool> startNextAttempt(SharedState &shared, RequestContext &context,
                                 PlainProgress &progress) {
  std::string block = findBlock(shared, context, requestSuspect(context));
  if (!block.empty()) {
    progress.Cause = FailureCause::Blocked;
    progress.Detail = std::move(block);
    co_return false;
  }
  AvailableServers available = findUntriedServers(shared, context, progress);
  context.PassedOver = available.PassedOver;
  context.OpensIn = available.OpensIn;
  ServerPtr server = chooseServer(shared, context.Service, available);
  bool mayAttempt = progress.TriedServers.empty() ||
                    findRetryObstacle(shared, context).empty();
  if (!server && available.LacksConnection && progress.Open.empty() &&
      mayAttempt)
    co_return co_await waitForConnection(shared, context, progress);
  if (!server) {
    context.NoRetryReason = "no other server is available";
    if (available.OpensIn)
      progress.Detail = "all backend servers are closed after a rejection with "
                        "a time to wait";
    co_return false;
  }
  if (!progress.TriedServers.empty() && !acquireRetry(shared, context))
    co_return false;
  recordTrial(shared, context);
  co_await startAttempt(shared, context, progress, std::move(server));
  co_return true;
}

/// Receives from the attempt that has a response. Returns true if the caller
/// has received the response of the request.
Awaitable<bool> advanceOpenAttempts(SharedState &shared,
                                    RequestContext &context,
                                    PlainProgress &progress,
                                    const http::ResponseStream *ready) {
  auto it = std::find_if(
      progress.Open.begin(), progress.Open.end(),
      [&](const auto &attempt) { return attempt->Response.get() == ready; });
  PlainAttemptResult result = co_await advanceAttempt(shared, context, **it);
  if (!result.IsDone)
    co_return false;
  OpenPlainAttemptPtr attempt = std::move(*it);
  progress.Open.erase(it);
  endAttempt(shared, context, *attempt, result.Outcome, result.Detail);
  progress.Cause = FailureCause::Failed;
  // Whatever else arrives on the connection of an unusable response belongs to
  // no request.
  if (result.Outcome == AttemptOutcome::Unknown)
    attempt->Response->close();
  else
    settleConnection(shared, context.Request.Id, *attempt->Response);
  if (result.Outcome != AttemptOutcome::Answered) {
    progress.Detail = std::move(result.Detail);
    co_return false;
  }
  recordResponse(shared, context, *attempt);
  http::Response response = std::move(attempt->Received);
  bool serverFailed = response.Status >= http::StatusInternalServerError;
  if (serverFailed && context.Route->mayRepeat()) {
    progress.ErrorResponse = std::move(response);
    co_return false;
  }
  for (const OpenPlainAttemptPtr &other : progress.Open)
    endAttempt(shared, context, *other, AttemptOutcome::Unknown,
               "another server has responded");
  progress.Open.clear();
  co_await forwardResponse(shared, context, std::move(response));
  co_return true;
}

/// Records the end of a request, by which shares are computed. Without an
/// attempt that may have been executed, capacity did not suffice.
void recordFairness(SharedState &shared, const RequestContext &context) {
  if (!context.Workspace || context.CallerGone)
    return;
  admission::SizeFairness &fairness =
      shared.RouteStates[context.Route->Name].Fairness;
  bool isServed =
      context.Status != 0 && context.Status < http::StatusInternalServerError;
  fairness.recordCapacity(isServed || !context.Attempts.noneExecuted());
  fairness.record(1, isServed, context.Workspace->Name);
}

Awaitable<void> runPlain(SharedState &shared, RequestContext &context) {
  PlainProgress progress;
  while (!context.CallerGone) {
    if (context.remainingTime() <= Milliseconds(0)) {
      context.NoRetryReason = "the deadline has passed";
      progress.Cause = FailureCause::TimedOut;
      break;
    }
    retry::SilenceDecision next{true, Milliseconds(0)};
    if (!progress.Open.empty())
      next = decideNextStep(shared, context, progress);
    if (next.TryElsewhere) {
      if (progress.Open.empty() && !progress.ErrorResponse &&
          co_await passOnIfCutOff(shared, context, false))
        co_return;
      bool started = co_await startNextAttempt(shared, context, progress);
      if (!started && progress.Open.empty())
        break;
      continue;
    }
    std::vector<http::ResponseStream *> responses;
    for (const OpenPlainAttemptPtr &it : progress.Open)
      responses.push_back(it->Response.get());
    http::ResponseStream *ready =
        co_await http::waitForAny(responses, next.Wait);
    if (ready && co_await advanceOpenAttempts(shared, context, progress, ready))
      co_return;
  }
  std::string_view end =
      context.CallerGone ? "caller gone" : "the deadline has passed";
  for (const OpenPlainAttemptPtr &it : progress.Open)
    endAttempt(shared, context, *it, AttemptOutcome::Unknown, end);
  progress.Open.clear();
  if (context.CallerGone)
    co_return;
  if (progress.ErrorResponse) {
    co_await forwardResponse(shared, context,
                             std::move(*progress.ErrorResponse));
    co_return;
  }
  if (progress.Cause != FailureCause::Blocked &&
      co_await passOnIfCutOff(shared, context, true))
    co_return;
  co_await failRequest(shared, context, progress.Cause,
                       std::move(progress.Detail), std::nullopt);
}

} // namespace

Awaitable<void> servePlain(SharedState &shared, RequestContext &context) {
  // The process that the caller has sent the request to has decided.
  if (!context.IsPassedOn && yieldsToOthers(shared, context)) {
    shared.RouteStates[context.Route->Name].Fairness.record(
        1, false, context.Workspace->Name);
    co_await failRequest(shared, context, FailureCause::Overloaded,
                         std::string(YieldsToOthers), YieldRetryAfter);
    co_return;
  }
  co_await runPlain(shared, context);
  recordFairness(shared, context);
}

} // namespace sardineford::gateway
