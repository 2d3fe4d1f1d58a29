#include "Gateway/CrashCheck.h"
#include "Gateway/PassOn.h"
#include "Gateway/ServerChoice.h"
#include "Gateway/Stream.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Http/Status.h"
#include "Sardineford/Retry/Silence.h"

#include <algorithm>
#include <array>

namespace sardineford::gateway {

namespace {

using fleet::ServerPtr;

/// Weight of the newest sample in the moving average of an engine's slowness,
/// and the bounds of a sample.
constexpr double SlownessWeight = 0.1;
constexpr double MaxSlowness = 8;
constexpr double MinSlowness = 0.5;
/// Time after which engines are looked for again if none was found for a
/// further attempt.
constexpr Milliseconds NoEngineDelay{300};
/// Engine priority of each work priority; engines serve lower numbers first.
constexpr std::array<int, fleet::NumWorkPriorities> EnginePriorities = {2, 4,
                                                                        7};

} // namespace

AttemptOptions makeAttemptOptions(const RequestContext &context,
                                  const StreamProgress &progress,
                                  const ServerPtr &server) {
  AttemptOptions options;
  options.ServerId = server->Entry.Id;
  options.RemainingTime = context.remainingTime();
  options.EnginePriority =
      EnginePriorities[static_cast<size_t>(progress.Priority)];
  return options;
}

void recordPhaseDuration(routing::SpeedModel &model, fleet::Server &server,
                         double units, Seconds duration) {
  double ratio = duration / std::max(model.estimate(units), Seconds(0.001));
  server.Slowness +=
      (std::clamp(ratio, MinSlowness, MaxSlowness) - server.Slowness) *
      SlownessWeight;
  model.observe(units, duration);
}

void freeHandle(SharedState &shared, const KvHandle &handle) {
  // The engine frees the handle by itself after a timeout.
  if (isClosed(shared, handle.Engine))
    return;
  http::Request request = shared.Protocol.makeFreeHandleRequest(handle.Name);
  spawn(shared.Io, "free-handle",
        [&shared, engine = handle.Engine,
         request = std::move(request)]() -> Awaitable<void> {
          try {
            http::CallOptions options;
            co_await callServer(shared, engine, request, std::move(options));
          } catch (const http::TransportError &e) {
            log::debug(log::Category::Gateway, "freeing a KV handle failed: {}",
                       e.what());
          }
        });
}

double fairnessSize(const RequestContext &context) {
  return static_cast<double>(context.Request.PromptTokens);
}

namespace {

bool checkTimedOut(RequestContext &context, StreamProgress &progress) {
  if (context.remainingTime() > Milliseconds(0))
    return false;
  context.NoRetryReason = "the deadline has passed";
  progress.LastCause = FailureCause::TimedOut;
  return true;
}

std::vector<http::ResponseStream *>
responsesOf(const std::vector<OpenStreamAttemptPtr> &open) {
  std::vector<http::ResponseStream *> out;
  out.reserve(open.size());
  for (const OpenStreamAttemptPtr &it : open)
    out.push_back(it->Response.get());
  return out;
}

/// Decides how long to wait for the open attempts, and whether to make another
/// one. The newest attempt is the one that should respond first.
retry::SilenceDecision decideNextStep(SharedState &shared,
                                      RequestContext &context,
                                      const StreamProgress &progress,
                                      OpenStreamAttempt &newest) {
  retry::SilenceState state;
  state.Silence = newest.silence();
  state.Patience = newest.Patience;
  state.RemainingTime = context.remainingTime();
  if (state.Silence < state.Patience)
    return retry::decideOnSilence(state);
  std::string_view obstacle = findRetryObstacle(shared, context);
  state.MayRetry = obstacle.empty() && MonoClock::now() >= progress.NextMoveAt;
  if (!std::exchange(newest.WasSilent, true)) {
    if (context.Route->mayRepeat())
      recordSilence(shared, *newest.Plan.Server);
    log::event(log::Category::Gateway, log::Level::Info, "silence",
               {{"request", context.Request.Id},
                {"server", newest.Plan.Server->Entry.Id},
                {"silent_ms", state.Silence.count()},
                {"patience_ms", state.Patience.count()},
                {"outcome", state.MayRetry ? "attempt elsewhere" : "wait"},
                {"not_repeated", obstacle}});
  }
  return retry::decideOnSilence(state);
}

/// Returns whether the request may not be sent to an engine since it or a
/// prompt part crashes engines.
bool checkBlocked(SharedState &shared, RequestContext &context,
                  StreamProgress &progress) {
  std::string detail = findBlock(shared, context, suspectsOf(context));
  if (detail.empty())
    return false;
  progress.LastCause = FailureCause::Blocked;
  progress.LastDetail = std::move(detail);
  return true;
}

/// Returns whether a server that was chosen some time ago may still get the
/// request.
bool mayStart(SharedState &shared, const fleet::Server &server) {
  fleet::ServerUse use = judgeServer(shared, server);
  return use != fleet::ServerUse::Leaving && use != fleet::ServerUse::Closed;
}

/// Makes the next attempt. Returns false if none is possible now, or if an open
/// attempt responds in the meantime.
Awaitable<bool> startNextAttempt(SharedState &shared, RequestContext &context,
                                 StreamProgress &progress,
                                 std::vector<OpenStreamAttemptPtr> &open) {
  auto isFurther = [&context] {
    return !context.Attempts.all().empty() ||
           context.Attempts.countedCalls() > 0;
  };
  if (isFurther() && !findRetryObstacle(shared, context).empty())
    co_return acquireRetry(shared, context);
  if (checkBlocked(shared, context, progress)) {
    progress.NextMoveAt = MonoClock::now() + NoEngineDelay;
    co_return false;
  }
  // A trial may crash the engine that prefills its prompt.
  recordTrial(shared, context);
  bool isTrial = context.TriedSuspect.has_value();
  progress.OpenResponses = responsesOf(open);
  std::optional<AttemptPlan> next =
      co_await planAttempt(shared, context, progress);
  // The request may have been blocked while the prompt was prefilled.
  if (next && !mayStart(shared, *next->Server)) {
    if (next->Handle)
      freeHandle(shared, *next->Handle);
    co_return true;
  }
  bool mustStop = context.CallerGone || checkTimedOut(context, progress) ||
                  progress.hasOpenResponse() ||
                  (!isTrial && checkBlocked(shared, context, progress));
  if (!next || mustStop || (isFurther() && !acquireRetry(shared, context))) {
    if (next && next->Handle)
      freeHandle(shared, *next->Handle);
    progress.NextMoveAt = MonoClock::now() + NoEngineDelay;
    co_return false;
  }
  OpenStreamAttemptPtr attempt =
      co_await startAttempt(shared, context, progress, std::move(*next));
  if (attempt)
    open.push_back(std::move(attempt));
  co_return true;
}

/// Ends all attempts but one.
void abandonOthers(SharedState &shared, RequestContext &context,
                   std::vector<OpenStreamAttemptPtr> &open,
                   const OpenStreamAttempt &kept) {
  std::erase_if(open, [&](const OpenStreamAttemptPtr &it) {
    if (it.get() == &kept)
      return false;
    endAttempt(context, *it, AttemptOutcome::Unknown,
               "another engine has responded");
    if (it->Plan.Handle && !it->Forwards)
      freeHandle(shared, *it->Plan.Handle);
    return true;
  });
}

/// Receives from the attempt that has a response and forwards it. An attempt
/// that ends without a complete response is removed. Returns nothing if the
/// request goes on.
Awaitable<std::optional<StreamAttemptResult>>
advanceOpenAttempts(SharedState &shared, RequestContext &context,
                    StreamProgress &progress,
                    std::vector<OpenStreamAttemptPtr> &open,
                    const http::ResponseStream *ready) {
  auto it = std::find_if(open.begin(), open.end(), [&](const auto &attempt) {
    return attempt->Response.get() == ready;
  });
  OpenStreamAttempt &attempt = **it;
  StreamAttemptResult result =
      co_await advanceAttempt(shared, context, progress, attempt);
  if (result == StreamAttemptResult::Continues) {
    if (attempt.Forwards)
      abandonOthers(shared, context, open, attempt);
    co_return std::nullopt;
  }
  bool isComplete = result == StreamAttemptResult::Complete;
  AttemptOutcome outcome = AttemptOutcome::Unknown;
  if (isComplete)
    outcome = AttemptOutcome::Answered;
  else if (result == StreamAttemptResult::NotExecuted)
    outcome = AttemptOutcome::NotExecuted;
  endAttempt(context, attempt, outcome, isComplete ? "" : progress.LastDetail);
  if (outcome == AttemptOutcome::NotExecuted && attempt.Plan.Handle)
    freeHandle(shared, *attempt.Plan.Handle);
  if (isComplete || result == StreamAttemptResult::CallerGone)
    co_return result;
  // Whatever else arrives on the connection of an unusable response belongs to
  // no request.
  if (result == StreamAttemptResult::Broken)
    attempt.Response->close();
  if (attempt.Forwards) {
    progress.Events.dropPending();
    progress.PendingBytes.reset();
  }
  progress.LastCause = FailureCause::Failed;
  progress.NextMoveAt = {};
  open.erase(std::find_if(open.begin(), open.end(), [&](const auto &other) {
    return other.get() == &attempt;
  }));
  co_return std::nullopt;
}

/// Attempts the stream at one engine after another. An attempt at a silent
/// engine stays open until another engine responds or the deadline passes.
/// Returns the result of the last attempt, or nothing if no engine or no time
/// remains.
Awaitable<std::optional<StreamAttemptResult>>
serveOnEngines(SharedState &shared, RequestContext &context,
               StreamProgress &progress) {
  std::vector<OpenStreamAttemptPtr> open;
  for (;;) {
    if (context.CallerGone) {
      for (const OpenStreamAttemptPtr &it : open)
        endAttempt(context, *it, AttemptOutcome::Unknown, "caller gone");
      co_return StreamAttemptResult::CallerGone;
    }
    if (checkTimedOut(context, progress)) {
      for (const OpenStreamAttemptPtr &it : open)
        endAttempt(context, *it, AttemptOutcome::Unknown,
                   "the deadline has passed");
      co_return std::nullopt;
    }
    retry::SilenceDecision next{true, Milliseconds(0)};
    progress.OpenResponses = responsesOf(open);
    if (progress.hasOpenResponse())
      next = {false, Milliseconds(0)};
    else if (!open.empty())
      next = decideNextStep(shared, context, progress, *open.back());
    if (next.TryElsewhere) {
      if (open.empty() && co_await passOnIfCutOff(shared, context, false))
        co_return StreamAttemptResult::PassedOn;
      bool started = co_await startNextAttempt(shared, context, progress, open);
      if (started || !open.empty() || context.CallerGone)
        continue;
      if (progress.LastCause != FailureCause::Blocked &&
          co_await passOnIfCutOff(shared, context, true))
        co_return StreamAttemptResult::PassedOn;
      co_return std::nullopt;
    }
    http::ResponseStream *ready =
        co_await http::waitForAny(progress.OpenResponses, next.Wait);
    if (!ready)
      continue;
    std::optional<StreamAttemptResult> result =
        co_await advanceOpenAttempts(shared, context, progress, open, ready);
    if (result)
      co_return result;
  }
}

} // namespace

Awaitable<void> serveStream(SharedState &shared, RequestContext &context) {
  StreamProgress progress;
  std::optional<StreamAttemptResult> result;
  if (co_await findStreamOrigin(shared, context, progress))
    result = co_await serveOnEngines(shared, context, progress);
  bool isServed = result == StreamAttemptResult::Complete ||
                  (result == StreamAttemptResult::PassedOn &&
                   context.Status == http::StatusOk);
  if (result || progress.LastCause != FailureCause::Blocked)
    shared.RouteStates[context.Route->Name].Fairness.record(
        fairnessSize(context), isServed, context.Request.Workspace);
  if (result == StreamAttemptResult::Complete) {
    context.Outcome = "answered";
    shared.Origins.forget(context.Service, context.Request.StreamId);
  }
  if (result == StreamAttemptResult::CallerGone)
    context.CallerGone = true;
  if (result)
    co_return;
  std::string detail = progress.LastDetail;
  co_await failRequest(shared, context, progress.LastCause, std::move(detail),
                       progress.RetryAfter);
}

} // namespace sardineford::gateway
