#include "Gateway/Stream.h"
#include "Sardineford/Common/Log.h"

#include <algorithm>
#include <array>

namespace sardineford::gateway {

namespace {

using fleet::ServerPtr;

/// Weight of the newest phase in an engine's slowness, and its bounds.
constexpr double SlownessWeight = 0.1;
constexpr double MostSlowness = 8;
constexpr double LeastSlowness = 0.5;
/// Ranks at the engine.
constexpr std::array<int, fleet::WorkRanks> EnginePriorities = {2, 4, 7};

} // namespace

AttemptOptions makeAttemptOptions(const RequestContext &c, const Progress &p,
                                  const ServerPtr &server) {
  AttemptOptions o;
  o.ServerId = server->Entry.Id;
  o.RemainingTime = c.remainingTime();
  o.EnginePriority = EnginePriorities[static_cast<size_t>(p.Rank)];
  return o;
}

void learnPhase(routing::SpeedModel &model, fleet::Server &server, double units,
                Seconds took) {
  double ratio = took / std::max(model.estimate(units), Seconds(0.001));
  server.Slowness +=
      (std::clamp(ratio, LeastSlowness, MostSlowness) - server.Slowness) *
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

double sizeOf(const RequestContext &c) {
  return static_cast<double>(c.Request.PromptTokens);
}

namespace {

bool isOver(RequestContext &c, Progress &p) {
  if (c.remainingTime() > Milliseconds(0))
    return false;
  c.NoRetryReason = "no time is left";
  p.Cause = FailureCause::TimedOut;
  return true;
}

/// Has one engine after another serve the stream. Returns how the last run
/// ended, or nothing when there is no engine or no time for a further one.
Awaitable<std::optional<RunEnd>> runOnEngines(SharedState &s, RequestContext &c,
                                              Progress &p) {
  for (bool isFirst = true;; isFirst = false) {
    if (isOver(c, p) || (!isFirst && !acquireRetry(s, c)))
      co_return std::nullopt;
    std::optional<RunPlan> next = co_await planRun(s, c, p);
    if (c.CallerGone)
      co_return RunEnd::CallerLost;
    if (!next)
      co_return std::nullopt;
    std::string id = next->Server->Entry.Id;
    std::optional<KvHandle> handle = next->Handle;
    if (isOver(c, p)) {
      if (handle)
        freeHandle(s, *handle);
      co_return std::nullopt;
    }
    RunEnd end = co_await runAt(s, c, p, std::move(*next));
    if (end == RunEnd::NotExecuted && handle)
      freeHandle(s, *handle);
    if (end == RunEnd::Complete)
      co_return end;
    if (end == RunEnd::CallerLost || c.CallerGone)
      co_return RunEnd::CallerLost;
    p.Events.dropPending();
    p.Tried.push_back(id);
    p.Cause = FailureCause::Failed;
  }
}

} // namespace

Awaitable<void> serveStream(SharedState &s, RequestContext &c) {
  Progress p;
  std::optional<RunEnd> end = co_await runOnEngines(s, c, p);
  s.Fairness[c.Route->Name].note(sizeOf(c), end == RunEnd::Complete);
  if (end == RunEnd::Complete)
    c.Outcome = "answered";
  if (end == RunEnd::CallerLost)
    c.CallerGone = true;
  if (end)
    co_return;
  std::string detail = p.Detail;
  co_await failRequest(s, c, p.Cause, std::move(detail), p.RetryAfter);
}

} // namespace sardineford::gateway
