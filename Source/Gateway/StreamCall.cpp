#include "Gateway/Stream.h"
#include "Sardineford/Common/Log.h"

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
  http::Request request = shared.Protocol.makeFreeHandleRequest(handle.Name);
  spawn(shared.Io, "free-handle",
        [&shared, engine = handle.Engine,
         request = std::move(request)]() -> Awaitable<void> {
          try {
            co_await shared.Client.call(engine, request);
          } catch (const http::TransportError &e) {
            // The engine frees the handle by itself after a timeout.
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

/// Attempts the stream at one engine after another. Returns the result of the
/// last attempt, or nothing if no engine or no time remains for a further
/// attempt.
Awaitable<std::optional<StreamAttemptResult>>
serveOnEngines(SharedState &shared, RequestContext &context,
               StreamProgress &progress) {
  for (bool isFirst = true;; isFirst = false) {
    if (checkTimedOut(context, progress) ||
        (!isFirst && !acquireRetry(shared, context)))
      co_return std::nullopt;
    std::optional<AttemptPlan> next =
        co_await planAttempt(shared, context, progress);
    std::optional<KvHandle> handle = next ? next->Handle : std::nullopt;
    if (context.CallerGone) {
      if (handle)
        freeHandle(shared, *handle);
      co_return StreamAttemptResult::CallerGone;
    }
    if (!next)
      co_return std::nullopt;
    std::string serverId = next->Server->Entry.Id;
    if (checkTimedOut(context, progress)) {
      if (handle)
        freeHandle(shared, *handle);
      co_return std::nullopt;
    }
    StreamAttemptResult result =
        co_await runAttempt(shared, context, progress, std::move(*next));
    if (result == StreamAttemptResult::NotExecuted && handle)
      freeHandle(shared, *handle);
    if (result == StreamAttemptResult::Complete)
      co_return result;
    if (result == StreamAttemptResult::CallerGone || context.CallerGone)
      co_return StreamAttemptResult::CallerGone;
    progress.Events.dropPending();
    progress.TriedServers.push_back(serverId);
    progress.LastCause = FailureCause::Failed;
  }
}

} // namespace

Awaitable<void> serveStream(SharedState &shared, RequestContext &context) {
  StreamProgress progress;
  std::optional<StreamAttemptResult> result =
      co_await serveOnEngines(shared, context, progress);
  shared.RouteStates[context.Route->Name].Fairness.record(
      fairnessSize(context), result == StreamAttemptResult::Complete);
  if (result == StreamAttemptResult::Complete)
    context.Outcome = "answered";
  if (result == StreamAttemptResult::CallerGone)
    context.CallerGone = true;
  if (result)
    co_return;
  std::string detail = progress.LastDetail;
  co_await failRequest(shared, context, progress.LastCause, std::move(detail),
                       progress.RetryAfter);
}

} // namespace sardineford::gateway
