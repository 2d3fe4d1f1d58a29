#include "Gateway/Stream.h"
#include "Sardineford/Common/Log.h"

#include <algorithm>
#include <array>

namespace sardineford::gateway {

namespace {

using fleet::ServerPtr;

/// Weight of the newest phase in an engine's slowness, and its bounds.
constexpr double SlownessWeight = 0.1;
constexpr double MaxSlowness = 8;
constexpr double MinSlowness = 0.5;
/// Ranks at the engine.
constexpr std::array<int, fleet::WorkRanks> EnginePriorities = {2, 4, 7};

} // namespace

AttemptOptions makeAttemptOptions(const RequestContext &c,
                                  const StreamProgress &p,
                                  const ServerPtr &server) {
  AttemptOptions o;
  o.ServerId = server->Entry.Id;
  o.RemainingTime = c.remainingTime();
  o.EnginePriority = EnginePriorities[static_cast<size_t>(p.Priority)];
  return o;
}

void recordPhaseDuration(routing::SpeedModel &model, fleet::Server &server,
                         double units, Seconds took) {
  double ratio = took / std::max(model.estimate(units), Seconds(0.001));
  server.Slowness +=
      (std::clamp(ratio, MinSlowness, MaxSlowness) - server.Slowness) *
      SlownessWeight;
  model.observe(units, took);
}

void freeHandle(SharedState &s, const KvHandle &handle) {
  http::Request request = s.Protocol.makeFreeHandleRequest(handle.Name);
  spawn(s.Io, "free-handle",
        [&s, engine = handle.Engine,
         request = std::move(request)]() -> Awaitable<void> {
          try {
            co_await s.Client.call(engine, request);
          } catch (const http::TransportError &e) {
            // The engine frees it by itself after a time.
            log::debug(log::Category::Gateway, "free a handle: {}", e.what());
          }
        });
}

double fairnessSize(const RequestContext &c) {
  return static_cast<double>(c.Request.PromptTokens);
}

namespace {

bool checkTimedOut(RequestContext &c, StreamProgress &p) {
  if (c.remainingTime() > Milliseconds(0))
    return false;
  c.NoRetryReason = "no time is left";
  p.LastCause = FailureCause::TimedOut;
  return true;
}

/// Has one engine after another serve the stream. Returns how the last run
/// ended, or nothing when there is no engine or no time for a further one.
Awaitable<std::optional<StreamAttemptResult>>
serveOnEngines(SharedState &s, RequestContext &c, StreamProgress &p) {
  for (bool isFirst = true;; isFirst = false) {
    if (checkTimedOut(c, p) || (!isFirst && !acquireRetry(s, c)))
      co_return std::nullopt;
    std::optional<AttemptPlan> next = co_await planAttempt(s, c, p);
    if (c.CallerGone)
      co_return StreamAttemptResult::CallerGone;
    if (!next)
      co_return std::nullopt;
    std::string id = next->Server->Entry.Id;
    std::optional<KvHandle> handle = next->Handle;
    if (checkTimedOut(c, p)) {
      if (handle)
        freeHandle(s, *handle);
      co_return std::nullopt;
    }
    StreamAttemptResult end = co_await runAttempt(s, c, p, std::move(*next));
    if (end == StreamAttemptResult::NotExecuted && handle)
      freeHandle(s, *handle);
    if (end == StreamAttemptResult::Complete)
      co_return end;
    if (end == StreamAttemptResult::CallerGone || c.CallerGone)
      co_return StreamAttemptResult::CallerGone;
    p.Events.dropPending();
    p.TriedServers.push_back(id);
    p.LastCause = FailureCause::Failed;
  }
}

} // namespace

Awaitable<void> serveStream(SharedState &s, RequestContext &c) {
  StreamProgress p;
  std::optional<StreamAttemptResult> end = co_await serveOnEngines(s, c, p);
  s.Fairness[c.Route->Name].note(fairnessSize(c),
                                 end == StreamAttemptResult::Complete);
  if (end == StreamAttemptResult::Complete)
    c.Outcome = "answered";
  if (end == StreamAttemptResult::CallerGone)
    c.CallerGone = true;
  if (end)
    co_return;
  std::string detail = p.LastDetail;
  co_await failRequest(s, c, p.LastCause, std::move(detail), p.RetryAfter);
}

} // namespace sardineford::gateway
