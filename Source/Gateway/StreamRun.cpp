#include "Gateway/EngineView.h"
#include "Gateway/Stream.h"
#include "Sardineford/Http/Status.h"

#include <algorithm>

namespace sardineford::gateway {

namespace {

using fleet::FailureKind;
using fleet::ServerPtr;

/// Timeout between two events, as a multiple of the objective of the route and
/// at least the minimum. Only failed engines leave longer gaps.
constexpr int EventGapTimeoutFactor = 3;
constexpr Milliseconds MinEventGapTimeout{900};
/// Weight of the newest stream in the mean stream duration.
constexpr double StreamDurationWeight = 0.05;
/// The same for one route. Each of many processes sees only a few streams of a
/// route.
constexpr double RouteDurationWeight = 0.1;
/// Engine priority of a request whose prompt is already prefilled: higher than
/// all others.
constexpr int FetchPriority = 1;

/// Forwards events to the caller until the stream ends.
Awaitable<StreamAttemptResult> forwardEvents(RequestContext &context,
                                             StreamProgress &progress,
                                             http::ResponseStream &stream) {
  Milliseconds gapTimeout = std::max(
      MinEventGapTimeout, Milliseconds(context.Route->GapObjective.count() *
                                       EventGapTimeoutFactor));
  MonoTime lastEventAt{};
  for (;;) {
    Milliseconds readTimeout =
        context.Route->Resumable ? std::min(gapTimeout, context.remainingTime())
                                 : context.remainingTime();
    std::string chunk =
        co_await stream.read(std::max(readTimeout, Milliseconds(1)));
    context.LastByteAt = MonoClock::now();
    if (chunk.empty())
      break;
    std::string completeEvents = progress.Events.push(chunk);
    if (completeEvents.empty())
      continue;
    context.EventCount = progress.Events.events();
    MonoTime now = MonoClock::now();
    if (lastEventAt != MonoTime{})
      context.LongestPause =
          std::max(context.LongestPause, toMilliseconds(now - lastEventAt));
    lastEventAt = now;
    if (context.TimeToFirstByte < Milliseconds(0))
      context.TimeToFirstByte = context.elapsed();
    try {
      co_await context.Out.write(std::move(completeEvents));
    } catch (const std::exception &e) {
      progress.LastDetail =
          std::string("writing to the caller failed: ") + e.what();
      co_return StreamAttemptResult::CallerGone;
    }
  }
  if (progress.Events.pending() > 0) {
    progress.LastDetail = "the stream ended within an event";
    co_return StreamAttemptResult::Broken;
  }
  co_await context.Out.finish();
  co_return StreamAttemptResult::Complete;
}

/// Forwards a response that is not an event stream, usually an error response
/// of the server.
Awaitable<StreamAttemptResult>
forwardWholeResponse(SharedState &shared, RequestContext &context,
                     http::ResponseStream &stream) {
  http::Response backendResponse = stream.head();
  for (;;) {
    std::string chunk = co_await stream.read(
        std::max(context.remainingTime(), Milliseconds(1)));
    if (chunk.empty())
      break;
    backendResponse.Body += chunk;
  }
  context.Status = backendResponse.Status;
  http::Response callerResponse =
      shared.Protocol.makeCallerResponse(std::move(backendResponse));
  co_await context.Out.send(std::move(callerResponse));
  co_return StreamAttemptResult::Complete;
}

Milliseconds firstEventTimeout(SharedState &shared,
                               const RequestContext &context,
                               const AttemptPlan &plan) {
  bool mayRetry =
      context.Route->Resumable &&
      static_cast<int>(context.Attempts.sentCount()) + 1 <
          context.Route->MaxAttempts &&
      shared.service(context.Service).RetryBudget.remaining(MonoClock::now()) >=
          1;
  if (!mayRetry)
    return context.remainingTime();
  Milliseconds timeout =
      std::max({MinFirstEventTimeout, context.Route->Objective,
                toMilliseconds(plan.Estimate * FirstEventTimeoutFactor)});
  return std::min(timeout, context.remainingTime());
}

void recordFirstEvent(SharedState &shared, RequestContext &context,
                      const AttemptPlan &plan, double queuedTokens,
                      Seconds duration) {
  routing::EngineSpeedModels &models =
      shared.service(context.Service).SpeedModels;
  if (plan.Handle)
    recordPhaseDuration(models.Fetch, *plan.Server, plan.Tokens, duration);
  else
    recordPhaseDuration(models.Colocated, *plan.Server,
                        queuedTokens + plan.Tokens, duration);
}

/// Records the time from the first event of a complete stream to its last.
void recordStream(SharedState &shared, const RequestContext &context,
                  unsigned requests, Seconds duration) {
  ServiceState &service = shared.service(context.Service);
  service.MeanStreamDuration +=
      (duration - service.MeanStreamDuration) * StreamDurationWeight;
  Seconds &routeMean =
      shared.RouteStates[context.Route->Name].MeanStreamDuration;
  routeMean = routeMean == Seconds(0)
                  ? duration
                  : routeMean + (duration - routeMean) * RouteDurationWeight;
  if (context.EventCount > 1)
    service.SpeedModels.Pace.observe(
        requests, duration / static_cast<double>(context.EventCount - 1));
}

Awaitable<StreamAttemptResult>
forwardAttemptResponse(SharedState &shared, RequestContext &context,
                       StreamProgress &progress, http::ResponseStream &stream,
                       fleet::Server &server) {
  http::Response head = stream.head();
  bool isStream = shared.Protocol.decodeHead(head).IsEventStream;
  if (!isStream || head.Status != 200) {
    bool canRetry = context.Route->Resumable &&
                    head.Status >= http::StatusInternalServerError;
    if (context.Out.started() || canRetry) {
      progress.LastDetail =
          "the engine responded with status " + std::to_string(head.Status);
      server.Health.recordFailure(FailureKind::ServerError, MonoClock::now());
      stream.close();
      co_return StreamAttemptResult::Broken;
    }
    co_return co_await forwardWholeResponse(shared, context, stream);
  }
  if (!context.Out.started()) {
    context.Status = head.Status;
    http::Response response =
        shared.Protocol.makeCallerResponse(std::move(head));
    co_await context.Out.startStream(std::move(response));
  }
  co_return co_await forwardEvents(context, progress, stream);
}

} // namespace

Awaitable<StreamAttemptResult> runAttempt(SharedState &shared,
                                          RequestContext &context,
                                          StreamProgress &progress,
                                          AttemptPlan plan) {
  const ServerPtr &server = plan.Server;
  double queuedTokens = server->tokensAhead(progress.Priority);
  unsigned requests = server->requests() + 1;
  Reservation inFlight(shared, server, progress.Priority,
                       plan.Handle ? 0 : plan.Tokens);
  // Later requests in the queue of this engine find the shared parts cached.
  recordCachedParts(shared, context, *server);
  AttemptOptions attemptOptions = makeAttemptOptions(context, progress, server);
  attemptOptions.PrefilledPrompt = plan.Handle;
  if (plan.Handle)
    attemptOptions.EnginePriority = FetchPriority;
  attemptOptions.ResumeAfter = context.Request.ResumeAfter;
  if (progress.Events.lastId())
    attemptOptions.ResumeAfter = progress.Events.lastId();
  http::Request request =
      shared.Protocol.makeAttemptRequest(context.Request, attemptOptions);
  Milliseconds timeout = firstEventTimeout(shared, context, plan);
  http::CallOptions options =
      attemptCallOptions(context, !context.Route->mayRepeat(), timeout);
  size_t attempt = context.Attempts.add(server->Entry.Id);
  MonoTime start = MonoClock::now();
  context.LastByteAt = start;
  StreamAttemptResult result = StreamAttemptResult::Broken;
  AttemptOutcome outcome = AttemptOutcome::Unknown;
  std::string detail;
  Seconds timeToFirstEvent{-0.001};
  try {
    std::unique_ptr<http::ResponseStream> stream = co_await shared.Client.open(
        server->Entry.Address, std::move(request), std::move(options));
    ResponseHead head = shared.Protocol.decodeHead(stream->head());
    detail = validateResponse(head, stream->head(), context.Request.Id);
    if (!detail.empty()) {
      stream->close();
      server->Health.recordFailure(FailureKind::Broken, MonoClock::now());
    } else if (head.NotExecuted) {
      detail = "rejected with status " + std::to_string(stream->head().Status);
      outcome = AttemptOutcome::NotExecuted;
      result = StreamAttemptResult::NotExecuted;
      recordRejection(shared, server, head);
    } else {
      timeToFirstEvent = MonoClock::now() - start;
      context.LastByteAt = MonoClock::now();
      inFlight.releasePromptTokens();
      recordFirstEvent(shared, context, plan, queuedTokens, timeToFirstEvent);
      result = co_await forwardAttemptResponse(shared, context, progress,
                                               *stream, *server);
      if (result == StreamAttemptResult::Complete) {
        recordStream(shared, context, requests,
                     Seconds(MonoClock::now() - start) - timeToFirstEvent);
        outcome = AttemptOutcome::Answered;
        server->Health.recordSuccess(MonoClock::now());
      } else {
        stream->close();
        detail = progress.LastDetail;
      }
    }
  } catch (const http::TransportError &e) {
    detail = e.what();
    if (e.Stage == http::TransportStage::NothingSent) {
      outcome = AttemptOutcome::NeverSent;
      result = StreamAttemptResult::NotExecuted;
    }
    recordTransportFault(context, *server, e);
  }
  context.Attempts.setOutcome(attempt, outcome);
  if (result != StreamAttemptResult::Complete)
    progress.LastDetail = detail;
  logAttempt(context, *server,
             {plan.Handle ? "run with fetched cache" : "run", outcome,
              plan.Estimate, timeout, toMilliseconds(timeToFirstEvent), detail,
              plan.Tokens, queuedTokens,
              toMilliseconds(MonoClock::now() - context.LastByteAt)});
  co_return result;
}

} // namespace sardineford::gateway
