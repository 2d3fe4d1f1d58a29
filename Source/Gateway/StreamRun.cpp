#include "Gateway/EngineView.h"
#include "Gateway/Stream.h"
#include "Sardineford/Http/Status.h"

#include <algorithm>

namespace sardineford::gateway {

namespace {

using fleet::FaultKind;
using fleet::ServerPtr;

/// Pauses between events are that long only at engines that are gone.
constexpr int EventGapTimeoutFactor = 3;
constexpr Milliseconds MinEventGapTimeout{900};
/// Weight of the newest stream in the typical time of one.
constexpr double StreamDurationWeight = 0.05;
/// Rank at the engine of what is prefilled already: ahead of all else.
constexpr int FetchPriority = 1;

/// Passes events on until the stream ends.
Awaitable<StreamAttemptResult> forwardEvents(RequestContext &c,
                                             StreamProgress &p,
                                             http::ResponseStream &stream) {
  Milliseconds gap =
      std::max(MinEventGapTimeout, Milliseconds(c.Route->GapObjective.count() *
                                                EventGapTimeoutFactor));
  for (;;) {
    Milliseconds wait = c.Route->Resumable ? std::min(gap, c.remainingTime())
                                           : c.remainingTime();
    std::string piece = co_await stream.read(std::max(wait, Milliseconds(1)));
    if (piece.empty())
      break;
    std::string whole = p.Events.push(piece);
    if (whole.empty())
      continue;
    c.EventCount = p.Events.events();
    if (c.TimeToFirstByte < Milliseconds(0))
      c.TimeToFirstByte = c.elapsed();
    try {
      co_await c.Out.write(std::move(whole));
    } catch (const std::exception &e) {
      p.LastDetail =
          std::string("the caller cannot be written to: ") + e.what();
      co_return StreamAttemptResult::CallerGone;
    }
  }
  if (p.Events.pending() > 0) {
    p.LastDetail = "the stream ends within an event";
    co_return StreamAttemptResult::Broken;
  }
  co_await c.Out.finish();
  co_return StreamAttemptResult::Complete;
}

/// Answers that are no stream: a server's own failure, mostly.
Awaitable<StreamAttemptResult>
forwardWholeResponse(SharedState &s, RequestContext &c,
                     http::ResponseStream &stream) {
  http::Response r = stream.head();
  for (;;) {
    std::string piece =
        co_await stream.read(std::max(c.remainingTime(), Milliseconds(1)));
    if (piece.empty())
      break;
    r.Body += piece;
  }
  c.Status = r.Status;
  http::Response answer = s.Protocol.makeCallerResponse(std::move(r));
  co_await c.Out.send(std::move(answer));
  co_return StreamAttemptResult::Complete;
}

Milliseconds firstEventTimeout(SharedState &s, const RequestContext &c,
                               const AttemptPlan &plan) {
  bool mayRetry =
      c.Route->Resumable &&
      static_cast<int>(c.Attempts.sentCount()) + 1 < c.Route->MaxAttempts &&
      s.service(c.Service).RetryBudget.left(MonoClock::now()) >= 1;
  if (!mayRetry)
    return c.remainingTime();
  Milliseconds patience =
      std::max({MinFirstEventTimeout, c.Route->Objective,
                toMilliseconds(plan.Estimate * FirstEventTimeoutFactor)});
  return std::min(patience, c.remainingTime());
}

void recordFirstEvent(SharedState &s, RequestContext &c,
                      const AttemptPlan &plan, double ahead, Seconds took) {
  routing::EngineSpeedModels &m = s.service(c.Service).SpeedModels;
  if (plan.Handle)
    recordPhaseDuration(m.Fetch, *plan.Server, plan.Tokens, took);
  else
    recordPhaseDuration(m.Alone, *plan.Server, ahead + plan.Tokens, took);
}

Awaitable<StreamAttemptResult>
forwardAttemptResponse(SharedState &s, RequestContext &c, StreamProgress &p,
                       http::ResponseStream &stream, fleet::Server &server) {
  http::Response head = stream.head();
  bool isStream = s.Protocol.decodeHead(head).IsEventStream;
  if (!isStream || head.Status != 200) {
    bool canRetry =
        c.Route->Resumable && head.Status >= http::StatusServerFailed;
    if (c.Out.started() || canRetry) {
      p.LastDetail = "the engine answered " + std::to_string(head.Status);
      server.Faults.failed(FaultKind::Failed, MonoClock::now());
      stream.close();
      co_return StreamAttemptResult::Broken;
    }
    co_return co_await forwardWholeResponse(s, c, stream);
  }
  if (!c.Out.started()) {
    c.Status = head.Status;
    http::Response answer = s.Protocol.makeCallerResponse(std::move(head));
    co_await c.Out.startStream(std::move(answer));
  }
  co_return co_await forwardEvents(c, p, stream);
}

} // namespace

Awaitable<StreamAttemptResult> runAttempt(SharedState &s, RequestContext &c,
                                          StreamProgress &p, AttemptPlan plan) {
  const ServerPtr &server = plan.Server;
  double ahead = server->tokensAhead(p.Priority);
  Reservation inFlight(server, p.Priority, plan.Handle ? 0 : plan.Tokens);
  // What comes behind it there finds its shared parts cached.
  recordCachedParts(s, c, *server);
  AttemptOptions attemptOptions = makeAttemptOptions(c, p, server);
  attemptOptions.PrefilledPrompt = plan.Handle;
  if (plan.Handle)
    attemptOptions.EnginePriority = FetchPriority;
  attemptOptions.ResumeAfter = c.Request.ResumeAfter;
  if (p.Events.lastId())
    attemptOptions.ResumeAfter = p.Events.lastId();
  http::Request request =
      s.Protocol.makeAttemptRequest(c.Request, attemptOptions);
  Milliseconds patience = firstEventTimeout(s, c, plan);
  http::CallOptions options =
      attemptCallOptions(c, !c.Route->mayRepeat(), patience);
  size_t attempt = c.Attempts.add(server->Entry.Id);
  MonoTime start = MonoClock::now();
  StreamAttemptResult end = StreamAttemptResult::Broken;
  AttemptOutcome outcome = AttemptOutcome::Unknown;
  std::string detail;
  Seconds first{-0.001};
  try {
    std::unique_ptr<http::ResponseStream> stream = co_await s.Client.open(
        server->Entry.Address, std::move(request), std::move(options));
    ResponseHead head = s.Protocol.decodeHead(stream->head());
    detail = validateResponse(head, stream->head(), c.Request.Id);
    if (!detail.empty()) {
      stream->close();
      server->Faults.failed(FaultKind::Broken, MonoClock::now());
    } else if (head.NotExecuted) {
      detail = "turned away with " + std::to_string(stream->head().Status);
      outcome = AttemptOutcome::NotExecuted;
      end = StreamAttemptResult::NotExecuted;
      recordRejection(s, server, head);
    } else {
      first = MonoClock::now() - start;
      inFlight.releasePromptTokens();
      recordFirstEvent(s, c, plan, ahead, first);
      end = co_await forwardAttemptResponse(s, c, p, *stream, *server);
      if (end == StreamAttemptResult::Complete) {
        Seconds &typical = s.service(c.Service).MeanStreamDuration;
        typical += (Seconds(MonoClock::now() - start) - first - typical) *
                   StreamDurationWeight;
        outcome = AttemptOutcome::Answered;
        server->Faults.succeeded(MonoClock::now());
      } else {
        stream->close();
        detail = p.LastDetail;
      }
    }
  } catch (const http::TransportError &e) {
    detail = e.what();
    if (e.Stage == http::TransportStage::NothingSent) {
      outcome = AttemptOutcome::NeverSent;
      end = StreamAttemptResult::NotExecuted;
    }
    recordTransportFault(c, *server, e);
  }
  c.Attempts.setOutcome(attempt, outcome);
  if (end != StreamAttemptResult::Complete)
    p.LastDetail = detail;
  logAttempt(c, *server,
             {plan.Handle ? "run with fetched cache" : "run", outcome,
              plan.Estimate, patience, toMilliseconds(first), detail});
  co_return end;
}

} // namespace sardineford::gateway
