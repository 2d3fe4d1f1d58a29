#include "Gateway/CrashCheck.h"
#include "Gateway/EngineView.h"
#include "Gateway/PaceTracking.h"
#include "Gateway/ServerChoice.h"
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

Milliseconds eventGapPatience(const fleet::Route &route) {
  return std::max(MinEventGapTimeout, Milliseconds(route.GapObjective.count() *
                                                   EventGapTimeoutFactor));
}

/// Records that bytes were received, and that the prompt is sound if the answer
/// goes on for long enough. Bytes that waited while this process was paused say
/// nothing about the time before.
void recordProgress(SharedState &shared, const RequestContext &context,
                    OpenStreamAttempt &attempt, MonoTime now) {
  if (now - attempt.LastByteAt > fleet::CrashAnswerTime)
    attempt.SteadySince = now;
  attempt.LastByteAt = now;
  if (attempt.IsSound || now - attempt.SteadySince < fleet::CrashAnswerTime)
    return;
  attempt.IsSound = true;
  recordSoundAnswer(shared, context, attempt.RespondedAt);
}

/// Returns why nothing further of the stream can be forwarded, or an empty
/// string.
std::string findStreamFault(const StreamProgress &progress) {
  if (progress.PendingBytes->isGivenUp())
    return http::MemoryExceeded;
  if (progress.Events.isForeign())
    return "the stream holds bytes that are not its next event";
  if (progress.Events.isTooLong())
    return "an event of the stream exceeds " + std::to_string(MaxEventBytes) +
           " bytes";
  return "";
}

/// Forwards the events that have arrived.
Awaitable<StreamAttemptResult> forwardEvents(SharedState &shared,
                                             RequestContext &context,
                                             StreamProgress &progress,
                                             OpenStreamAttempt &attempt) {
  while (attempt.Response->isReady()) {
    std::string chunk = co_await attempt.Response->read(http::ReadyTimeout);
    if (chunk.empty()) {
      if (progress.Events.pending() > 0) {
        progress.LastDetail = "the stream ended within an event";
        co_return StreamAttemptResult::Broken;
      }
      co_await context.Out.finish();
      co_return StreamAttemptResult::Complete;
    }
    MonoTime now = MonoClock::now();
    recordContact(shared, *attempt.Plan.Server);
    recordProgress(shared, context, attempt, now);
    std::string completeEvents;
    if (!progress.PendingBytes->isGivenUp())
      completeEvents = progress.Events.push(chunk);
    progress.PendingBytes->resize(progress.Events.pending());
    std::string fault = findStreamFault(progress);
    bool isFaulty = !fault.empty();
    if (isFaulty)
      progress.LastDetail = std::move(fault);
    if (completeEvents.empty() && isFaulty)
      co_return StreamAttemptResult::Broken;
    if (completeEvents.empty())
      continue;
    countUsage(shared, context);
    context.EventCount = progress.Events.events();
    if (progress.LastEventAt != MonoTime{})
      context.LongestPause = std::max(
          context.LongestPause, toMilliseconds(now - progress.LastEventAt));
    progress.LastEventAt = now;
    if (context.TimeToFirstByte < Milliseconds(0))
      context.TimeToFirstByte = context.elapsed();
    try {
      co_await context.Out.write(std::move(completeEvents));
    } catch (const std::exception &e) {
      progress.LastDetail =
          std::string("writing to the caller failed: ") + e.what();
      co_return StreamAttemptResult::CallerGone;
    }
    if (isFaulty)
      co_return StreamAttemptResult::Broken;
  }
  co_return StreamAttemptResult::Continues;
}

/// Forwards a response that is not an event stream, usually an error response
/// of the server.
Awaitable<StreamAttemptResult>
forwardWholeResponse(SharedState &shared, RequestContext &context,
                     http::ResponseStream &stream) {
  http::Response backendResponse = stream.head();
  backendResponse.Body = co_await http::readBody(
      stream, shared.Client.receiveMemory(), context.Deadline);
  context.Status = backendResponse.Status;
  http::Response callerResponse =
      shared.Protocol.makeCallerResponse(std::move(backendResponse));
  co_await context.Out.send(std::move(callerResponse));
  co_return StreamAttemptResult::Complete;
}

Milliseconds firstEventPatience(const RequestContext &context,
                                const AttemptPlan &plan) {
  return std::max({MinFirstEventTimeout, context.Route->Objective,
                   toMilliseconds(plan.Estimate * FirstEventTimeoutFactor)});
}

void recordFirstEvent(SharedState &shared, RequestContext &context,
                      const OpenStreamAttempt &attempt) {
  // A pause says little about the speed of an engine.
  Seconds duration = attempt.TimeToFirstEvent;
  if (attempt.WasSilent)
    duration = std::min<Seconds>(duration, attempt.Patience);
  routing::EngineSpeedModels &models =
      shared.service(context.Service).SpeedModels;
  const AttemptPlan &plan = attempt.Plan;
  recordPaceAnswer(shared, *plan.Server, duration, plan.Estimate);
  if (plan.Handle)
    recordPhaseDuration(models.Fetch, *plan.Server, plan.Tokens, duration);
  else
    recordPhaseDuration(models.Colocated, *plan.Server,
                        attempt.QueuedTokens + plan.Tokens, duration);
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

/// Begins to forward a response whose head was received.
Awaitable<StreamAttemptResult> beginResponse(SharedState &shared,
                                             RequestContext &context,
                                             StreamProgress &progress,
                                             OpenStreamAttempt &attempt) {
  http::Response head = attempt.Response->head();
  bool isStream = shared.Protocol.decodeHead(head).IsEventStream;
  if (!isStream || head.Status != http::StatusOk) {
    countUsage(shared, context);
    bool canRetry = context.Route->Resumable &&
                    head.Status >= http::StatusInternalServerError;
    if (context.Out.started() || canRetry) {
      progress.LastDetail =
          "the engine responded with status " + std::to_string(head.Status);
      attempt.Plan.Server->Health.recordFailure(FailureKind::ServerError,
                                                MonoClock::now());
      recordPaceFailure(shared, *attempt.Plan.Server, fleet::PaceEvent::Failed);
      co_return StreamAttemptResult::Broken;
    }
    co_return co_await forwardWholeResponse(shared, context, *attempt.Response);
  }
  recordStreamOrigin(shared, context, *attempt.Plan.Server);
  if (!context.Out.started()) {
    context.Status = head.Status;
    http::Response response =
        shared.Protocol.makeCallerResponse(std::move(head));
    co_await context.Out.startStream(std::move(response));
  }
  // An incomplete event of an earlier attempt is sent again by this one.
  progress.Events.dropPending();
  progress.PendingBytes.emplace(shared.Client.receiveMemory(),
                                [&progress] { progress.Events.dropPending(); });
  attempt.Forwards = true;
  progress.Filter.SoftwareVersion = attempt.Plan.Server->Entry.SoftwareVersion;
  attempt.Patience = eventGapPatience(*context.Route);
  co_return StreamAttemptResult::Continues;
}

/// Receives the head and begins to forward the response if it can be used.
Awaitable<StreamAttemptResult> receiveResponse(SharedState &shared,
                                               RequestContext &context,
                                               StreamProgress &progress,
                                               OpenStreamAttempt &attempt) {
  const ServerPtr &server = attempt.Plan.Server;
  co_await attempt.Response->receiveHead(http::ReadyTimeout);
  recordContact(shared, *server);
  ResponseHead head = shared.Protocol.decodeHead(attempt.Response->head());
  attempt.RequestLimit = head.RequestLimit;
  std::string error =
      validateResponse(head, attempt.Response->head(), context.Request.Id);
  if (!error.empty()) {
    progress.LastDetail = std::move(error);
    server->Health.recordFailure(FailureKind::Broken, MonoClock::now());
    co_return StreamAttemptResult::Broken;
  }
  recordServerNotices(shared, server->Entry, head, attempt.StartedAt);
  if (head.NotExecuted) {
    progress.LastDetail = "rejected with status " +
                          std::to_string(attempt.Response->head().Status);
    recordRejection(shared, server, head);
    co_return StreamAttemptResult::NotExecuted;
  }
  attempt.LastByteAt = MonoClock::now();
  attempt.RespondedAt = attempt.LastByteAt;
  attempt.SteadySince = attempt.LastByteAt;
  attempt.TimeToFirstEvent = attempt.LastByteAt - attempt.StartedAt;
  attempt.InFlight.releasePromptTokens();
  recordFirstEvent(shared, context, attempt);
  co_return co_await beginResponse(shared, context, progress, attempt);
}

} // namespace

void endAttempt(RequestContext &context, const OpenStreamAttempt &attempt,
                AttemptOutcome outcome, std::string_view detail) {
  context.Attempts.setOutcome(attempt.Index, outcome);
  logAttempt(context, *attempt.Plan.Server,
             {attempt.Plan.Handle ? "run with fetched cache" : "run", outcome,
              attempt.Plan.Estimate, attempt.Patience,
              toMilliseconds(attempt.TimeToFirstEvent), detail,
              attempt.Plan.Tokens, attempt.QueuedTokens, attempt.silence(),
              attempt.responseAge(), attempt.RequestLimit});
}

Awaitable<OpenStreamAttemptPtr> startAttempt(SharedState &shared,
                                             RequestContext &context,
                                             StreamProgress &progress,
                                             AttemptPlan plan) {
  auto attempt = std::make_unique<OpenStreamAttempt>(shared, std::move(plan),
                                                     progress.Priority);
  const ServerPtr &server = attempt->Plan.Server;
  progress.Filter.ExcludedServers.push_back(server->Entry.Id);
  recordSentRequest(shared, *server);
  // Later requests in the queue of this engine find the shared parts cached.
  recordCachedParts(shared, context, *server);
  AttemptOptions attemptOptions = makeAttemptOptions(context, progress, server);
  attemptOptions.PrefilledPrompt = attempt->Plan.Handle;
  if (attempt->Plan.Handle)
    attemptOptions.EnginePriority = FetchPriority;
  attemptOptions.ResumeAfter = context.Request.ResumeAfter;
  if (progress.Events.lastId())
    attemptOptions.ResumeAfter = progress.Events.lastId();
  http::Request request =
      shared.Protocol.makeAttemptRequest(context.Request, attemptOptions);
  http::CallOptions options =
      attemptCallOptions(context, server->Entry.Address,
                         context.Route->mayRepeat(), context.remainingTime());
  attempt->Patience = firstEventPatience(context, attempt->Plan);
  attempt->Index = context.Attempts.add(server->Entry.Id);
  attempt->StartedAt = MonoClock::now();
  attempt->LastByteAt = attempt->StartedAt;
  try {
    attempt->Response = co_await shared.Client.send(
        server->Entry.Address, std::move(request), std::move(options));
  } catch (const http::TransportError &e) {
    progress.LastDetail = e.what();
    recordTransportFault(shared, context, *server, e, false);
    if (e.Refused)
      recordRefusedConnection(shared, server);
    endAttempt(context, *attempt, AttemptOutcome::NeverSent, e.what());
    if (attempt->Plan.Handle)
      freeHandle(shared, *attempt->Plan.Handle);
    co_return nullptr;
  }
  co_return attempt;
}

Awaitable<StreamAttemptResult> advanceAttempt(SharedState &shared,
                                              RequestContext &context,
                                              StreamProgress &progress,
                                              OpenStreamAttempt &attempt) {
  fleet::Server &server = *attempt.Plan.Server;
  StreamAttemptResult result = StreamAttemptResult::Broken;
  // The connection ended before the response did.
  bool isCut = false;
  try {
    if (attempt.Forwards)
      result = co_await forwardEvents(shared, context, progress, attempt);
    else
      result = co_await receiveResponse(shared, context, progress, attempt);
  } catch (const http::TransportError &e) {
    progress.LastDetail = e.what();
    recordTransportFault(shared, context, server, e,
                         attempt.RespondedAt != MonoTime{});
    isCut = !e.TimedOut && !context.CallerGone;
  }
  if (result == StreamAttemptResult::Complete ||
      result == StreamAttemptResult::NotExecuted)
    settleConnection(shared, context.Request.Id, *attempt.Response);
  if (isCut && !attempt.IsSound)
    recordBrokenAnswer(shared, suspectsOf(context), attempt.Plan.Server);
  if (result == StreamAttemptResult::Continues && attempt.WasSilent) {
    server.Health.recordSuccess(MonoClock::now());
    attempt.WasSilent = false;
  }
  if (result == StreamAttemptResult::Complete) {
    recordStream(shared, context, attempt.Requests,
                 Seconds(MonoClock::now() - attempt.StartedAt) -
                     attempt.TimeToFirstEvent);
    server.Health.recordSuccess(MonoClock::now());
    if (attempt.Forwards && !attempt.IsSound)
      recordShortAnswer(shared, suspectsOf(context), attempt.Plan.Server,
                        attempt.RespondedAt);
  }
  co_return result;
}

} // namespace sardineford::gateway
