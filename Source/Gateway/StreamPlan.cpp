#include "Gateway/EngineView.h"
#include "Gateway/Stream.h"
#include "Sardineford/Admission/StreamAdmission.h"
#include "Sardineford/Common/Log.h"

#include <algorithm>
#include <array>

namespace sardineford::gateway {

namespace {

using fleet::ServerPtr;

/// Tries to have a prompt prefilled apart.
constexpr int MaxPrefillAttempts = 2;

/// Has the prompt prefilled. Empty when that failed.
Awaitable<std::optional<KvHandle>> prefill(SharedState &s, RequestContext &c,
                                           StreamProgress &p, ServerPtr server,
                                           double tokens, Seconds estimate) {
  double ahead = server->tokensAhead(p.Priority);
  Reservation inFlight(server, p.Priority, tokens);
  // What comes behind it there finds its shared parts cached.
  recordCachedParts(s, c, *server);
  AttemptOptions attemptOptions = makeAttemptOptions(c, p, server);
  http::Request request =
      s.Protocol.makePrefillRequest(c.Request, attemptOptions);
  Milliseconds patience = std::max(
      MinFirstEventTimeout, toMilliseconds(estimate * FirstEventTimeoutFactor));
  patience = std::min(patience, c.remainingTime());
  http::CallOptions options = attemptCallOptions(c, false, patience);
  MonoTime start = MonoClock::now();
  std::optional<KvHandle> handle;
  AttemptOutcome outcome = AttemptOutcome::Unknown;
  std::string detail;
  try {
    http::Response r = co_await s.Client.call(
        server->Entry.Address, std::move(request), std::move(options));
    ResponseHead head = s.Protocol.decodeHead(r);
    if (head.NotExecuted) {
      outcome = AttemptOutcome::NotExecuted;
      detail = "turned away with " + std::to_string(r.Status);
      recordRejection(s, server, head);
    } else if (r.Status == 200 &&
               (!head.RequestId || *head.RequestId == c.Request.Id)) {
      handle = s.Protocol.decodeHandle(server->Entry.Address, r.Body);
      outcome = AttemptOutcome::Answered;
    }
    if (!handle && detail.empty())
      detail = "no handle, status " + std::to_string(r.Status);
  } catch (const http::TransportError &e) {
    detail = e.what();
    recordTransportFault(c, *server, e);
  }
  Seconds took = MonoClock::now() - start;
  if (handle) {
    server->Faults.succeeded(MonoClock::now());
    recordPhaseDuration(s.service(c.Service).SpeedModels.Prefill, *server,
                        ahead + tokens, took);
  } else {
    p.LastDetail = detail;
  }
  logAttempt(
      c, *server,
      {"prefill", outcome, estimate, patience, toMilliseconds(took), detail});
  co_return handle;
}

/// The decode engine for a prompt that is prefilled.
std::optional<size_t> chooseDecodeEngine(SharedState &s, const EngineView &v,
                                         const routing::PromptDemand &demand) {
  std::vector<routing::EngineCandidate> engines = v.Candidates;
  // All tokens count as cached: only the way of the cache is left.
  for (routing::EngineCandidate &it : engines) {
    it.CachedTokens = demand.PromptTokens;
    it.PromptTokensAhead = 0;
  }
  std::optional<routing::PlacementChoice> choice = routing::placeRequest(
      engines, demand, routing::startingSpeeds(), s.Random);
  return choice ? std::optional<size_t>(choice->Decode) : std::nullopt;
}

/// Engines that may take the request, and the best place among them.
struct EnginePlacement {
  EngineView Engines;
  std::optional<routing::PlacementChoice> Choice;
};

EnginePlacement findPlacement(SharedState &s, const RequestContext &c,
                              const StreamProgress &p, fleet::WorkRank rank) {
  EnginePlacement out{collectEngines(s, c, rank, p.TriedServers), std::nullopt};
  EngineView &v = out.Engines;
  if (p.PrefillAttempts >= MaxPrefillAttempts)
    for (size_t i = v.Servers.size(); i-- > 0;)
      if (v.Candidates[i].Role == routing::EngineRole::Prefill) {
        v.Servers.erase(v.Servers.begin() + static_cast<ptrdiff_t>(i));
        v.Candidates.erase(v.Candidates.begin() + static_cast<ptrdiff_t>(i));
      }
  out.Choice =
      routing::placeRequest(v.Candidates, {c.Request.PromptTokens},
                            s.service(c.Service).SpeedModels, s.Random);
  return out;
}

int64_t estimateMs(const std::optional<Seconds> &t) {
  return t ? toMilliseconds(*t).count() : -1;
}

/// Decides whether and with what rank the request is served, and where.
/// Empty when it is refused.
std::optional<EnginePlacement> admit(SharedState &s, const RequestContext &c,
                                     StreamProgress &p) {
  std::array<EnginePlacement, fleet::WorkRanks> places;
  for (size_t i = 0; i < fleet::WorkRanks; ++i)
    places[i] = findPlacement(s, c, p, static_cast<fleet::WorkRank>(i));
  auto firstEvent = [&](fleet::WorkRank r) {
    const auto &choice = places[static_cast<size_t>(r)].Choice;
    return choice ? std::optional<Seconds>(choice->FirstEvent) : std::nullopt;
  };
  admission::StreamOutlook o;
  o.First = firstEvent(fleet::WorkRank::First);
  o.Urgent = firstEvent(fleet::WorkRank::Urgent);
  o.Background = firstEvent(fleet::WorkRank::Background);
  const EnginePlacement &last = places.back();
  if (last.Choice)
    o.OwnWork = last.Choice->OwnWork;
  o.Elapsed = c.elapsed();
  o.Objective = c.Route->Objective;
  o.Patience = fleet::callerPatience(*c.Route);
  o.Left = c.remainingTime();
  o.IsBehind = s.Fairness[c.Route->Name].isBehind(fairnessSize(c));
  admission::StreamDecision d = admission::decideStream(o);
  log::event(log::Category::Gateway, log::Level::Info, "admission",
             {{"request", c.Request.Id},
              {"first_estimate_ms", estimateMs(o.First)},
              {"urgent_estimate_ms", estimateMs(o.Urgent)},
              {"background_estimate_ms", estimateMs(o.Background)},
              {"own_work_ms", toMilliseconds(o.OwnWork).count()},
              {"size_is_behind", o.IsBehind},
              {"objective_ms", o.Objective.count()},
              {"elapsed_ms", o.Elapsed.count()},
              {"engines", last.Engines.Servers.size()},
              {"outcome", d.Rank ? fleet::toString(*d.Rank) : "refused"}});
  if (!d.Rank) {
    p.LastCause =
        last.Choice ? FailureCause::Overloaded : FailureCause::NoServer;
    p.LastDetail = last.Choice ? "no engine can begin it while its caller waits"
                               : "no engine is known that takes it";
    p.RetryAfter = d.RetryAfter;
    return std::nullopt;
  }
  p.Priority = *d.Rank;
  return std::move(places[static_cast<size_t>(p.Priority)]);
}

} // namespace

Awaitable<std::optional<AttemptPlan>>
planAttempt(SharedState &s, RequestContext &c, StreamProgress &p) {
  routing::PromptDemand demand{c.Request.PromptTokens};
  for (;;) {
    std::optional<EnginePlacement> placement;
    if (c.Attempts.sentCount() == 0 && p.PrefillAttempts == 0)
      placement = admit(s, c, p);
    else
      placement = findPlacement(s, c, p, p.Priority);
    if (!placement || !placement->Choice)
      co_return std::nullopt;
    const EngineView &v = placement->Engines;
    routing::PlacementChoice choice = *placement->Choice;
    if (!choice.Prefill) {
      size_t d = choice.Decode;
      co_return AttemptPlan{v.Servers[d], std::nullopt,
                            tokensToPrefill(v.Candidates[d], c.Request),
                            choice.FirstEvent};
    }
    // The first prefill is no further attempt; each later one is.
    bool allowed = p.PrefillAttempts == 0 ||
                   s.service(c.Service).RetryBudget.withdraw(MonoClock::now());
    ++p.PrefillAttempts;
    if (!allowed) {
      p.PrefillAttempts = MaxPrefillAttempts;
      continue;
    }
    size_t at = *choice.Prefill;
    double tokens = tokensToPrefill(v.Candidates[at], c.Request);
    std::optional<KvHandle> handle =
        co_await prefill(s, c, p, v.Servers[at], tokens, choice.FirstEvent);
    if (c.CallerGone)
      co_return std::nullopt;
    if (!handle) {
      p.TriedServers.push_back(v.Servers[at]->Entry.Id);
      continue;
    }
    EngineView now = collectEngines(s, c, p.Priority, p.TriedServers);
    std::optional<size_t> d = chooseDecodeEngine(s, now, demand);
    if (!d) {
      freeHandle(s, *handle);
      co_return std::nullopt;
    }
    co_return AttemptPlan{now.Servers[*d], handle,
                          static_cast<double>(c.Request.PromptTokens),
                          s.service(c.Service).SpeedModels.Fetch.estimate(
                              static_cast<double>(c.Request.PromptTokens))};
  }
}

} // namespace sardineford::gateway
