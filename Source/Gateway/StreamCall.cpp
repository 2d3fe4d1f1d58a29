#include "Gateway/EngineView.h"
#include "Gateway/EventSplitter.h"
#include "Sardineford/Admission/StreamAdmission.h"
#include "Sardineford/Common/Log.h"

#include <algorithm>
#include <array>

namespace sardineford::gateway {

namespace {

using fleet::FaultKind;
using fleet::ServerPtr;
using routing::SpeedModel;

/// A stream that may go on elsewhere is given up at a silent engine after
/// this many times what was expected, and not before the least patience:
/// moving it costs a second prefill.
constexpr double FirstEventPatience = 4;
constexpr Milliseconds LeastFirstEventPatience{600};
/// Pauses between events are that long only at engines that are gone.
constexpr int GapPatience = 3;
constexpr Milliseconds LeastGapPatience{900};
/// Further tries to have a prompt prefilled apart.
constexpr int MostPrefillTries = 2;
constexpr double SlownessWeight = 0.1;
constexpr double MostSlowness = 8;
constexpr double LeastSlowness = 0.5;
/// Ranks at the engine: what is prefilled already goes first.
constexpr int FetchUrgency = 1;
constexpr std::array<int, fleet::WorkRanks> UrgencyOfRank = {2, 4, 7};
constexpr double NewestStreamWeight = 0.05;

enum class RunEnd {
  /// The caller has the whole answer.
  Complete,
  /// The server did not run it.
  NotRun,
  /// The server broke off, or never answered.
  Broken,
  /// The caller has left, or cannot be given more.
  CallerLost,
};

/// Progress of one caller's stream over all servers.
struct Progress {
  EventSplitter Events;
  std::vector<std::string> Tried;
  int PrefillTries = 0;
  fleet::WorkRank Rank = fleet::WorkRank::Urgent;
  std::optional<Milliseconds> RetryAfter;
  std::string Detail = "no engine is known";
};

SendOptions sendOptions(const Call &c, const Progress &p,
                        const ServerPtr &server) {
  SendOptions o;
  o.ServerId = server->Entry.Id;
  o.TimeLeft = c.left();
  o.Urgency = UrgencyOfRank[static_cast<size_t>(p.Rank)];
  return o;
}

void learn(SpeedModel &model, fleet::Server &server, double units,
           Seconds took) {
  double ratio = took / std::max(model.estimate(units), Seconds(0.001));
  server.Slowness +=
      (std::clamp(ratio, LeastSlowness, MostSlowness) - server.Slowness) *
      SlownessWeight;
  model.observe(units, took);
}

void noteTransportFault(const Call &c, fleet::Server &server,
                        const http::TransportError &e) {
  if (c.CallerGone)
    return;
  FaultKind kind = FaultKind::Broken;
  if (e.Stage == http::TransportStage::NothingSent)
    kind = FaultKind::Unreachable;
  else if (e.TimedOut)
    kind = FaultKind::Silent;
  server.Faults.failed(kind, MonoClock::now());
}

/// Frees a handle that no engine took.
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

/// Has the prompt prefilled. Empty when that failed.
Awaitable<std::optional<KvHandle>> prefill(State &s, Call &c, Progress &p,
                                           ServerPtr server, double tokens,
                                           Seconds estimate) {
  double ahead = server->tokensAhead(p.Rank);
  Reservation inFlight(server, p.Rank, tokens);
  SendOptions send = sendOptions(c, p, server);
  http::Request request = s.Protocol.prefillCall(c.Request, send);
  Milliseconds patience = std::max(
      LeastFirstEventPatience, toMilliseconds(estimate * FirstEventPatience));
  http::CallOptions options =
      callOptions(c, false, std::min(patience, c.left()));
  MonoTime start = MonoClock::now();
  std::optional<KvHandle> handle;
  SendOutcome outcome = SendOutcome::Unknown;
  std::string detail;
  try {
    http::Response r = co_await s.Client.call(
        server->Entry.Address, std::move(request), std::move(options));
    AnswerHead head = s.Protocol.decodeHead(r);
    if (head.NotRun) {
      outcome = SendOutcome::NotRun;
      detail = "turned away with " + std::to_string(r.Status);
      noteRejected(s, server, head);
    } else if (r.Status == 200 &&
               (!head.RequestId || *head.RequestId == c.Request.Id)) {
      handle = s.Protocol.decodeHandle(server->Entry.Address, r.Body);
      outcome = SendOutcome::Answered;
    }
    if (!handle && detail.empty())
      detail = "no handle, status " + std::to_string(r.Status);
  } catch (const http::TransportError &e) {
    detail = e.what();
    noteTransportFault(c, *server, e);
  }
  Seconds took = MonoClock::now() - start;
  if (handle) {
    server->Faults.succeeded(MonoClock::now());
    learn(s.service(c.Service).Speeds.Prefill, *server, ahead + tokens, took);
    noteParts(s, c, *server);
  } else {
    p.Detail = detail;
  }
  logAttempt(c, *server, "prefill", outcome, toMilliseconds(took), estimate,
             detail);
  co_return handle;
}

/// Passes events on until the stream ends.
Awaitable<RunEnd> passEvents(Call &c, Progress &p,
                             http::ResponseStream &stream) {
  Milliseconds gap =
      std::max(LeastGapPatience,
               Milliseconds(c.Route->GapObjective.count() * GapPatience));
  for (;;) {
    Milliseconds wait = c.Route->Resumable ? std::min(gap, c.left()) : c.left();
    std::string piece = co_await stream.read(std::max(wait, Milliseconds(1)));
    if (piece.empty())
      break;
    std::string whole = p.Events.push(piece);
    if (whole.empty())
      continue;
    c.Events = p.Events.events();
    if (c.FirstByte < Milliseconds(0))
      c.FirstByte = c.elapsed();
    try {
      co_await c.Out.write(std::move(whole));
    } catch (const std::exception &e) {
      p.Detail = std::string("the caller cannot be written to: ") + e.what();
      co_return RunEnd::CallerLost;
    }
  }
  if (p.Events.pending() > 0) {
    p.Detail = "the stream ends within an event";
    co_return RunEnd::Broken;
  }
  co_await c.Out.finish();
  co_return RunEnd::Complete;
}

/// Answers that are no stream: a server's own failure, mostly.
Awaitable<RunEnd> passWhole(State &s, Call &c, http::ResponseStream &stream) {
  http::Response r = stream.head();
  for (;;) {
    std::string piece =
        co_await stream.read(std::max(c.left(), Milliseconds(1)));
    if (piece.empty())
      break;
    r.Body += piece;
  }
  c.Status = r.Status;
  http::Response answer = s.Protocol.answerForCaller(std::move(r));
  co_await c.Out.send(std::move(answer));
  co_return RunEnd::Complete;
}

/// What one run needs to know of its placing.
struct RunPlan {
  ServerPtr Server;
  std::optional<KvHandle> Handle;
  double Tokens = 0;
  Seconds Estimate{0};
};

Milliseconds firstEventPatience(State &s, const Call &c, const RunPlan &plan) {
  bool mayMove =
      c.Route->Resumable &&
      static_cast<int>(c.Record.sends()) + 1 < c.Route->MaxAttempts &&
      s.service(c.Service).Budget.left(MonoClock::now()) >= 1;
  if (!mayMove)
    return c.left();
  Milliseconds patience =
      std::max({LeastFirstEventPatience, c.Route->Objective,
                toMilliseconds(plan.Estimate * FirstEventPatience)});
  return std::min(patience, c.left());
}

void learnFirstEvent(State &s, Call &c, const RunPlan &plan, double ahead,
                     Seconds took) {
  routing::EngineSpeedModels &m = s.service(c.Service).Speeds;
  if (plan.Handle)
    learn(m.Fetch, *plan.Server, plan.Tokens, took);
  else
    learn(m.Alone, *plan.Server, ahead + plan.Tokens, took);
  noteParts(s, c, *plan.Server);
}

Awaitable<RunEnd> useAnswer(State &s, Call &c, Progress &p,
                            http::ResponseStream &stream,
                            fleet::Server &server) {
  http::Response head = stream.head();
  bool isStream = s.Protocol.decodeHead(head).IsEventStream;
  if (!isStream || head.Status != 200) {
    bool canRetry = c.Route->Resumable && head.Status >= 500;
    if (c.Out.started() || canRetry) {
      p.Detail = "the engine answered " + std::to_string(head.Status);
      server.Faults.failed(FaultKind::Failed, MonoClock::now());
      stream.close();
      co_return RunEnd::Broken;
    }
    co_return co_await passWhole(s, c, stream);
  }
  if (!c.Out.started()) {
    c.Status = head.Status;
    http::Response answer = s.Protocol.answerForCaller(std::move(head));
    co_await c.Out.startStream(std::move(answer));
  }
  co_return co_await passEvents(c, p, stream);
}

/// One run at one engine.
Awaitable<RunEnd> run(State &s, Call &c, Progress &p, RunPlan plan) {
  const ServerPtr &server = plan.Server;
  double ahead = server->tokensAhead(p.Rank);
  Reservation inFlight(server, p.Rank, plan.Handle ? 0 : plan.Tokens);
  SendOptions send = sendOptions(c, p, server);
  send.From = plan.Handle;
  if (plan.Handle)
    send.Urgency = FetchUrgency;
  send.ResumeAfter = c.Request.ResumeAfter;
  if (p.Events.lastId())
    send.ResumeAfter = p.Events.lastId();
  http::Request request = s.Protocol.runCall(c.Request, send);
  http::CallOptions options =
      callOptions(c, !c.Route->mayRepeat(), firstEventPatience(s, c, plan));
  size_t record = c.Record.open(server->Entry.Id);
  MonoTime start = MonoClock::now();
  RunEnd end = RunEnd::Broken;
  SendOutcome outcome = SendOutcome::Unknown;
  std::string detail;
  Seconds first{-0.001};
  try {
    std::unique_ptr<http::ResponseStream> stream = co_await s.Client.open(
        server->Entry.Address, std::move(request), std::move(options));
    AnswerHead head = s.Protocol.decodeHead(stream->head());
    detail = faultOf(head, stream->head(), c.Request.Id);
    if (!detail.empty()) {
      stream->close();
      server->Faults.failed(FaultKind::Broken, MonoClock::now());
    } else if (head.NotRun) {
      detail = "turned away with " + std::to_string(stream->head().Status);
      outcome = SendOutcome::NotRun;
      end = RunEnd::NotRun;
      noteRejected(s, server, head);
    } else {
      first = MonoClock::now() - start;
      inFlight.promptDone();
      learnFirstEvent(s, c, plan, ahead, first);
      end = co_await useAnswer(s, c, p, *stream, *server);
      if (end == RunEnd::Complete) {
        Seconds &typical = s.service(c.Service).TypicalStream;
        typical += (Seconds(MonoClock::now() - start) - first - typical) *
                   NewestStreamWeight;
        outcome = SendOutcome::Answered;
        server->Faults.succeeded(MonoClock::now());
      } else {
        stream->close();
        detail = p.Detail;
      }
    }
  } catch (const http::TransportError &e) {
    detail = e.what();
    if (e.Stage == http::TransportStage::NothingSent) {
      outcome = SendOutcome::NeverSent;
      end = RunEnd::NotRun;
    }
    noteTransportFault(c, *server, e);
  }
  c.Record.close(record, outcome);
  if (end != RunEnd::Complete)
    p.Detail = detail;
  logAttempt(c, *server, plan.Handle ? "run with fetched cache" : "run",
             outcome, toMilliseconds(first), plan.Estimate, detail);
  co_return end;
}

/// The decode engine for a prompt that is prefilled.
std::optional<size_t> placeFetch(State &s, const EngineView &v,
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
struct Placing {
  EngineView Engines;
  std::optional<routing::PlacementChoice> Choice;
};

Placing place(State &s, const Call &c, const Progress &p,
              fleet::WorkRank rank) {
  Placing out{viewEngines(s, c, rank, p.Tried), std::nullopt};
  EngineView &v = out.Engines;
  if (p.PrefillTries >= MostPrefillTries)
    for (size_t i = v.Servers.size(); i-- > 0;)
      if (v.Candidates[i].Role == routing::EngineRole::Prefill) {
        v.Servers.erase(v.Servers.begin() + static_cast<ptrdiff_t>(i));
        v.Candidates.erase(v.Candidates.begin() + static_cast<ptrdiff_t>(i));
      }
  out.Choice = routing::placeRequest(v.Candidates, {c.Request.PromptTokens},
                                     s.service(c.Service).Speeds, s.Random);
  return out;
}

double sizeOf(const Call &c) {
  return static_cast<double>(c.Request.PromptTokens);
}

int64_t wholeMs(const std::optional<Seconds> &t) {
  return t ? toMilliseconds(*t).count() : -1;
}

/// Decides whether and with what rank the request is served, and where.
/// Empty when it is refused.
std::optional<Placing> admit(State &s, const Call &c, Progress &p) {
  std::array<Placing, fleet::WorkRanks> places;
  for (size_t i = 0; i < fleet::WorkRanks; ++i)
    places[i] = place(s, c, p, static_cast<fleet::WorkRank>(i));
  auto firstEvent = [&](fleet::WorkRank r) {
    const auto &choice = places[static_cast<size_t>(r)].Choice;
    return choice ? std::optional<Seconds>(choice->FirstEvent) : std::nullopt;
  };
  admission::StreamOutlook o;
  o.First = firstEvent(fleet::WorkRank::First);
  o.Urgent = firstEvent(fleet::WorkRank::Urgent);
  o.Background = firstEvent(fleet::WorkRank::Background);
  const Placing &last = places.back();
  if (last.Choice)
    o.OwnWork = last.Choice->OwnWork;
  o.Elapsed = c.elapsed();
  o.Objective = c.Route->Objective;
  o.Patience = c.Route->Patience;
  o.Left = c.left();
  o.IsBehind = s.Fairness[c.Route->Name].isBehind(sizeOf(c));
  admission::StreamDecision d = admission::decideStream(o);
  log::event(log::Category::Gateway, log::Level::Info, "admission",
             {{"request", c.Request.Id},
              {"first_estimate_ms", wholeMs(o.First)},
              {"urgent_estimate_ms", wholeMs(o.Urgent)},
              {"background_estimate_ms", wholeMs(o.Background)},
              {"own_work_ms", toMilliseconds(o.OwnWork).count()},
              {"size_is_behind", o.IsBehind},
              {"objective_ms", o.Objective.count()},
              {"elapsed_ms", o.Elapsed.count()},
              {"engines", last.Engines.Servers.size()},
              {"outcome", d.Rank ? fleet::toString(*d.Rank) : "refused"}});
  if (!d.Rank) {
    p.Detail = last.Choice ? "no engine can begin it while its caller waits"
                           : "no engine is known that takes it";
    p.RetryAfter = d.RetryAfter;
    return std::nullopt;
  }
  p.Rank = *d.Rank;
  return std::move(places[static_cast<size_t>(p.Rank)]);
}

/// Places the request and, where that is sooner, has its prompt prefilled
/// apart. Empty when no engine can take it.
Awaitable<std::optional<RunPlan>> plan(State &s, Call &c, Progress &p) {
  routing::PromptDemand demand{c.Request.PromptTokens};
  for (;;) {
    std::optional<Placing> placing;
    if (c.Record.sends() == 0 && p.PrefillTries == 0)
      placing = admit(s, c, p);
    else
      placing = place(s, c, p, p.Rank);
    if (!placing || !placing->Choice)
      co_return std::nullopt;
    const EngineView &v = placing->Engines;
    routing::PlacementChoice choice = *placing->Choice;
    if (!choice.Prefill) {
      size_t d = choice.Decode;
      co_return RunPlan{v.Servers[d], std::nullopt,
                        tokensToPrefill(v.Candidates[d], c.Request),
                        choice.FirstEvent};
    }
    // The first prefill is no further attempt; each later one is.
    bool allowed = p.PrefillTries == 0 ||
                   s.service(c.Service).Budget.withdraw(MonoClock::now());
    ++p.PrefillTries;
    if (!allowed) {
      p.PrefillTries = MostPrefillTries;
      continue;
    }
    size_t at = *choice.Prefill;
    double tokens = tokensToPrefill(v.Candidates[at], c.Request);
    std::optional<KvHandle> handle =
        co_await prefill(s, c, p, v.Servers[at], tokens, choice.FirstEvent);
    if (c.CallerGone)
      co_return std::nullopt;
    if (!handle) {
      p.Tried.push_back(v.Servers[at]->Entry.Id);
      continue;
    }
    EngineView now = viewEngines(s, c, p.Rank, p.Tried);
    std::optional<size_t> d = placeFetch(s, now, demand);
    if (!d) {
      freeHandle(s, *handle);
      co_return std::nullopt;
    }
    co_return RunPlan{now.Servers[*d], handle,
                      static_cast<double>(c.Request.PromptTokens),
                      s.service(c.Service).Speeds.Fetch.estimate(
                          static_cast<double>(c.Request.PromptTokens))};
  }
}

} // namespace

Awaitable<void> serveStream(State &s, Call &c) {
  Progress p;
  GiveUpCause cause = GiveUpCause::NoServer;
  for (bool isFirst = true;; isFirst = false) {
    if (c.left() <= Milliseconds(0)) {
      cause = GiveUpCause::TimedOut;
      break;
    }
    if (!isFirst && !takeFurtherAttempt(s, c))
      break;
    std::optional<RunPlan> next = co_await plan(s, c, p);
    if (c.CallerGone) {
      s.Fairness[c.Route->Name].note(sizeOf(c), false);
      co_return;
    }
    if (!next)
      break;
    if (c.left() <= Milliseconds(0)) {
      if (next->Handle)
        freeHandle(s, *next->Handle);
      cause = GiveUpCause::TimedOut;
      break;
    }
    std::string id = next->Server->Entry.Id;
    std::optional<KvHandle> handle = next->Handle;
    RunEnd end = co_await run(s, c, p, std::move(*next));
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
    cause = GiveUpCause::Failed;
  }
  s.Fairness[c.Route->Name].note(sizeOf(c), false);
  std::string detail = p.Detail;
  co_await giveUp(s, c, cause, std::move(detail), p.RetryAfter);
}

} // namespace sardineford::gateway
