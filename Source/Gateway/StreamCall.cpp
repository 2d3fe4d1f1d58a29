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
constexpr std::array<int, fleet::WorkRanks> UrgencyOfRank = {2, 4, 7};

} // namespace

SendOptions sendOptions(const Call &c, const Progress &p,
                        const ServerPtr &server) {
  SendOptions o;
  o.ServerId = server->Entry.Id;
  o.TimeLeft = c.left();
  o.Urgency = UrgencyOfRank[static_cast<size_t>(p.Rank)];
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

void freeHandle(State &s, const KvHandle &handle) {
  http::Request request = s.Protocol.freeHandleCall(handle.Name);
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

double sizeOf(const Call &c) {
  return static_cast<double>(c.Request.PromptTokens);
}

Awaitable<void> serveStream(State &s, Call &c) {
  Progress p;
  for (bool isFirst = true;; isFirst = false) {
    if (c.left() <= Milliseconds(0)) {
      c.NotRepeated = "no time is left";
      p.Cause = GiveUpCause::TimedOut;
      break;
    }
    if (!isFirst && !takeFurtherAttempt(s, c))
      break;
    std::optional<RunPlan> next = co_await planRun(s, c, p);
    if (c.CallerGone) {
      s.Fairness[c.Route->Name].note(sizeOf(c), false);
      co_return;
    }
    if (!next)
      break;
    if (c.left() <= Milliseconds(0)) {
      if (next->Handle)
        freeHandle(s, *next->Handle);
      p.Cause = GiveUpCause::TimedOut;
      break;
    }
    std::string id = next->Server->Entry.Id;
    std::optional<KvHandle> handle = next->Handle;
    RunEnd end = co_await runAt(s, c, p, std::move(*next));
    if (end == RunEnd::NotRun && handle)
      freeHandle(s, *handle);
    if (end == RunEnd::Complete) {
      c.Outcome = "answered";
      s.Fairness[c.Route->Name].note(sizeOf(c), true);
      co_return;
    }
    if (end == RunEnd::CallerLost || c.CallerGone) {
      s.Fairness[c.Route->Name].note(sizeOf(c), false);
      c.CallerGone = true;
      co_return;
    }
    p.Events.dropPending();
    p.Tried.push_back(id);
    p.Cause = GiveUpCause::Failed;
  }
  s.Fairness[c.Route->Name].note(sizeOf(c), false);
  std::string detail = p.Detail;
  co_await giveUp(s, c, p.Cause, std::move(detail), p.RetryAfter);
}

} // namespace sardineford::gateway
