#include "Gateway/CrashCheck.h"
#include "Gateway/EngineView.h"
#include "Gateway/PaceTracking.h"
#include "Gateway/ServerChoice.h"
#include "Gateway/Stream.h"
#include "Sardineford/Admission/StreamAdmission.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Gateway/ConnectionReuse.h"
#include "Sardineford/Http/Status.h"
#include "Sardineford/Retry/PrefillRisk.h"

#include <algorithm>
#include <array>

namespace sardineford::gateway {

namespace {

using fleet::ServerPtr;

/// Maximum number of separate prefills of one request.
constexpr int MaxPrefillAttempts = 2;

Awaitable<http::Response> readWhole(SharedState &shared,
                                    http::ResponseStream &response,
                                    Milliseconds timeout) {
  MonoTime deadline = MonoClock::now() + timeout;
  co_await response.receiveHead(timeout);
  http::Response out = response.head();
  out.Body = co_await http::readBody(response, shared.Client.receiveMemory(),
                                     deadline);
  co_return out;
}

/// Prefills the prompt at an engine. Returns nothing if the prefill fails, or
/// if an open attempt responds in the meantime.
Awaitable<std::optional<KvHandle>>
prefill(SharedState &shared, RequestContext &context, StreamProgress &progress,
        ServerPtr server, double tokens, Seconds estimate) {
  double queuedTokens = server->tokensAhead(progress.Priority);
  Reservation inFlight(shared, server, progress.Priority, tokens);
  recordSentRequest(shared, *server);
  // Later requests in the queue of this engine find the shared parts cached.
  recordCachedParts(shared, context, *server);
  AttemptOptions attemptOptions = makeAttemptOptions(context, progress, server);
  http::Request request =
      shared.Protocol.makePrefillRequest(context.Request, attemptOptions);
  Milliseconds timeout = std::max(
      MinFirstEventTimeout, toMilliseconds(estimate * FirstEventTimeoutFactor));
  timeout = std::min(timeout, context.remainingTime());
  http::CallOptions options =
      attemptCallOptions(context, server->Entry.Address, true, timeout);
  MonoTime start = MonoClock::now();
  std::optional<KvHandle> handle;
  AttemptOutcome outcome = AttemptOutcome::Unknown;
  std::string detail;
  try {
    std::unique_ptr<http::ResponseStream> response =
        co_await shared.Client.send(server->Entry.Address, std::move(request),
                                    std::move(options));
    std::vector<http::ResponseStream *> awaited = progress.OpenResponses;
    awaited.push_back(response.get());
    http::ResponseStream *ready = co_await http::waitForAny(awaited, timeout);
    if (ready && ready != response.get()) {
      context.Attempts.recordPrefill(outcome);
      logAttempt(context, *server,
                 {"prefill", outcome, estimate, timeout,
                  toMilliseconds(MonoClock::now() - start),
                  "the silent engine has responded", tokens, queuedTokens});
      co_return std::nullopt;
    }
    http::Response r = co_await readWhole(shared, *response,
                                          ready ? timeout : http::ReadyTimeout);
    recordContact(shared, *server);
    ResponseHead head = shared.Protocol.decodeHead(r);
    settleConnection(shared, context.Request.Id, *response);
    bool isOther = isOfOtherRequest(
        {context.Request.Id, head.RequestId, head.NotExecuted});
    if (!isOther)
      recordServerNotices(shared, server->Entry, head, start);
    if (isOther) {
      detail = "the response belongs to another request";
      server->Health.recordFailure(fleet::FailureKind::Broken,
                                   MonoClock::now());
    } else if (head.NotExecuted) {
      outcome = AttemptOutcome::NotExecuted;
      detail = "rejected with status " + std::to_string(r.Status);
      recordRejection(shared, server, head);
    } else if (r.Status == http::StatusOk) {
      handle = shared.Protocol.decodeHandle(server->Entry.Address, r.Body);
      outcome = AttemptOutcome::Answered;
    }
    if (!handle && detail.empty())
      detail =
          "the response has no KV handle, status " + std::to_string(r.Status);
  } catch (const http::TransportError &e) {
    detail = e.what();
    recordTransportFault(shared, context, *server, e, false);
    if (e.Stage == http::TransportStage::NothingSent)
      outcome = AttemptOutcome::NeverSent;
    if (e.Refused)
      recordRefusedConnection(shared, server);
    bool isCut = !e.TimedOut && !context.CallerGone &&
                 e.Stage != http::TransportStage::NothingSent;
    if (isCut)
      recordBrokenAnswer(shared, requestSuspect(context), server);
  }
  context.Attempts.recordPrefill(outcome);
  Seconds duration = MonoClock::now() - start;
  if (handle) {
    server->Health.recordSuccess(MonoClock::now());
    recordPaceAnswer(shared, *server, duration, estimate);
    recordPhaseDuration(shared.service(context.Service).SpeedModels.Prefill,
                        *server, queuedTokens + tokens, duration);
  } else {
    progress.LastDetail = detail;
  }
  logAttempt(context, *server,
             {"prefill", outcome, estimate, timeout, toMilliseconds(duration),
              detail, tokens, queuedTokens});
  co_return handle;
}

/// Charges a separate prefill to the retry budget and sends it. The charge is
/// given back if the prefill turns out not to count. Returns nothing if the
/// budget is exhausted or the prefill fails.
Awaitable<std::optional<KvHandle>>
chargeAndPrefill(SharedState &shared, RequestContext &context,
                 StreamProgress &progress, ServerPtr server, double tokens,
                 Seconds estimate) {
  MonoTime start = MonoClock::now();
  size_t countedBefore = context.Attempts.countedCalls();
  context.NoRetryReason = findRetryObstacle(shared, context);
  if (!context.NoRetryReason.empty())
    co_return std::nullopt;
  // The run after it counts as the further attempt in the metrics.
  if (countedBefore > 0)
    shared.service(context.Service).RetryBudget.withdraw(start);
  std::optional<KvHandle> handle = co_await prefill(
      shared, context, progress, std::move(server), tokens, estimate);
  ServiceState &service = shared.service(context.Service);
  bool counts = context.Attempts.countedCalls() > countedBefore;
  if (counts)
    service.PrefillFailedAt = MonoClock::now();
  else if (countedBefore > 0)
    service.RetryBudget.refund(start);
  co_return handle;
}

/// Returns whether the prompt may be prefilled at an engine of its own.
bool maySendPrefill(SharedState &shared, const RequestContext &context,
                    const StreamProgress &progress) {
  if (progress.PrefillAttempts >= MaxPrefillAttempts)
    return false;
  ServiceState &service = shared.service(context.Service);
  MonoTime now = MonoClock::now();
  retry::PrefillRisk risk;
  risk.IsFirstCall = context.Attempts.countedCalls() == 0;
  risk.BudgetLeft = service.RetryBudget.remaining(now);
  risk.Window = shared.RetryBounds.Window;
  if (service.PrefillFailedAt)
    risk.FailedAgo = toMilliseconds(now - *service.PrefillFailedAt);
  return retry::mayPrefillSeparately(risk);
}

routing::RequestProfile requestProfile(SharedState &shared,
                                       const RequestContext &context) {
  return {context.Request.PromptTokens, Seconds(context.Route->GapObjective),
          shared.RouteStates[context.Route->Name].MeanStreamDuration,
          sharedTokens(context.Request)};
}

/// Engines that can serve the request, and the best choice among them.
struct EnginePlacement {
  EngineView Engines;
  std::optional<routing::PlacementChoice> Choice;
};

EnginePlacement findPlacement(SharedState &shared,
                              const RequestContext &context,
                              const StreamProgress &progress,
                              const ProbedEngines &probed,
                              fleet::WorkPriority priority) {
  EnginePlacement out{
      collectEngines(shared, context, priority, progress.Filter, probed),
      std::nullopt};
  EngineView &view = out.Engines;
  if (!maySendPrefill(shared, context, progress))
    for (size_t i = view.Servers.size(); i-- > 0;)
      if (view.Candidates[i].Role == routing::EngineRole::Prefill) {
        view.Servers.erase(view.Servers.begin() + static_cast<ptrdiff_t>(i));
        view.Candidates.erase(view.Candidates.begin() +
                              static_cast<ptrdiff_t>(i));
      }
  out.Choice = routing::placeRequest(
      view.Candidates, requestProfile(shared, context),
      shared.service(context.Service).SpeedModels, shared.Random);
  return out;
}

int64_t estimateMs(const std::optional<Seconds> &estimate) {
  return estimate ? toMilliseconds(*estimate).count() : -1;
}

/// Decides whether, with which priority and where the request is served.
/// Returns nothing if it is rejected.
std::optional<EnginePlacement> admit(SharedState &shared,
                                     RequestContext &context,
                                     StreamProgress &progress,
                                     const ProbedEngines &probed) {
  std::array<EnginePlacement, fleet::NumWorkPriorities> placements;
  for (size_t i = 0; i < fleet::NumWorkPriorities; ++i)
    placements[i] = findPlacement(shared, context, progress, probed,
                                  static_cast<fleet::WorkPriority>(i));
  auto firstEvent = [&](fleet::WorkPriority priority) {
    const auto &choice = placements[static_cast<size_t>(priority)].Choice;
    return choice ? std::optional<Seconds>(choice->TimeToFirstEvent)
                  : std::nullopt;
  };
  admission::StreamAdmissionInput outlook;
  outlook.FirstEstimate = firstEvent(fleet::WorkPriority::First);
  outlook.UrgentEstimate = firstEvent(fleet::WorkPriority::Urgent);
  outlook.BackgroundEstimate = firstEvent(fleet::WorkPriority::Background);
  const EnginePlacement &last = placements.back();
  context.PassedOver = last.Engines.PassedOver;
  context.OpensIn = last.Engines.OpensIn;
  if (last.Choice)
    outlook.PromptPrefillTime = last.Choice->PromptPrefillTime;
  outlook.Elapsed = context.elapsed();
  outlook.Objective = context.Route->Objective;
  outlook.CallerTimeout = fleet::estimatedCallerTimeout(*context.Route);
  outlook.RemainingTime = context.remainingTime();
  admission::SizeFairness &fairness =
      shared.RouteStates[context.Route->Name].Fairness;
  outlook.IsUnderserved =
      fairness.isUnderserved(fairnessSize(context), context.Request.Workspace);
  admission::StreamDecision decision = admission::decideStream(outlook);
  if (context.Workspace)
    fairness.recordCapacity(decision.Priority.has_value());
  bool yields = decision.Priority && !context.IsPassedOn &&
                yieldsToOthers(shared, context);
  if (yields)
    decision = {std::nullopt, YieldRetryAfter};
  log::event(
      log::Category::Gateway, log::Level::Info, "admission",
      {{"request", context.Request.Id},
       {"first_estimate_ms", estimateMs(outlook.FirstEstimate)},
       {"urgent_estimate_ms", estimateMs(outlook.UrgentEstimate)},
       {"background_estimate_ms", estimateMs(outlook.BackgroundEstimate)},
       {"own_work_ms", toMilliseconds(outlook.PromptPrefillTime).count()},
       {"size_is_behind", outlook.IsUnderserved},
       {"objective_ms", outlook.Objective.count()},
       {"elapsed_ms", outlook.Elapsed.count()},
       {"engines", last.Engines.Servers.size()},
       {"outcome",
        decision.Priority ? fleet::toString(*decision.Priority) : "refused"}});
  if (!decision.Priority) {
    bool hasVersion = progress.Filter.SoftwareVersion.has_value();
    progress.LastCause =
        last.Choice ? FailureCause::Overloaded : FailureCause::NoServer;
    progress.LastDetail =
        yields ? std::string(YieldsToOthers)
        : last.Choice
            ? "no engine can start the request before its caller times out"
            : (hasVersion ? "no engine of the software version that began the "
                            "stream is available"
                          : "no engine is available for the request");
    progress.RetryAfter = decision.RetryAfter;
    return std::nullopt;
  }
  progress.Priority = *decision.Priority;
  return std::move(placements[static_cast<size_t>(progress.Priority)]);
}

} // namespace

Awaitable<std::optional<AttemptPlan>> planAttempt(SharedState &shared,
                                                  RequestContext &context,
                                                  StreamProgress &progress) {
  for (;;) {
    ProbedEngines probed =
        co_await probeEngines(shared, context, progress.Filter, std::nullopt);
    if (context.CallerGone)
      co_return std::nullopt;
    std::optional<EnginePlacement> placement;
    if (context.Attempts.sentCount() == 0 && progress.PrefillAttempts == 0)
      placement = admit(shared, context, progress, probed);
    else
      placement =
          findPlacement(shared, context, progress, probed, progress.Priority);
    if (!placement || !placement->Choice)
      co_return std::nullopt;
    const EngineView &view = placement->Engines;
    routing::PlacementChoice choice = *placement->Choice;
    if (!choice.Prefill) {
      size_t decodeIndex = choice.Decode;
      co_return AttemptPlan{
          view.Servers[decodeIndex], std::nullopt,
          tokensToPrefill(view.Candidates[decodeIndex], context.Request),
          choice.TimeToFirstEvent};
    }
    ++progress.PrefillAttempts;
    size_t prefillIndex = *choice.Prefill;
    double tokens =
        tokensToPrefill(view.Candidates[prefillIndex], context.Request);
    std::optional<KvHandle> handle = co_await chargeAndPrefill(
        shared, context, progress, view.Servers[prefillIndex], tokens,
        choice.TimeToFirstEvent);
    if (context.CallerGone) {
      if (handle)
        freeHandle(shared, *handle);
      co_return std::nullopt;
    }
    if (!handle && progress.hasOpenResponse())
      co_return std::nullopt;
    if (!handle) {
      progress.Filter.ExcludedServers.push_back(
          view.Servers[prefillIndex]->Entry.Id);
      // The request may have crashed the engine, and be blocked by now.
      bool isBlocked = !findBlock(shared, context, suspectsOf(context)).empty();
      if (isBlocked || context.TriedSuspect)
        co_return std::nullopt;
      progress.LastCause = FailureCause::Failed;
      context.NoRetryReason = findRetryObstacle(shared, context);
      if (!context.NoRetryReason.empty())
        co_return std::nullopt;
      continue;
    }
    EngineFilter decodeFilter = progress.Filter;
    decodeFilter.SoftwareVersion =
        view.Servers[prefillIndex]->Entry.SoftwareVersion;
    ProbedEngines decodeEngines = co_await probeEngines(
        shared, context, decodeFilter, routing::EngineRole::Decode);
    EngineView currentView = collectEngines(shared, context, progress.Priority,
                                            decodeFilter, decodeEngines);
    std::optional<size_t> decodeIndex = routing::chooseFetchEngine(
        currentView.Candidates, requestProfile(shared, context),
        shared.service(context.Service).SpeedModels, shared.Random);
    if (!decodeIndex) {
      // An engine of another version may still prefill the prompt itself.
      freeHandle(shared, *handle);
      progress.PrefillAttempts = MaxPrefillAttempts;
      continue;
    }
    co_return AttemptPlan{currentView.Servers[*decodeIndex], handle,
                          static_cast<double>(context.Request.PromptTokens),
                          shared.service(context.Service)
                              .SpeedModels.Fetch.estimate(static_cast<double>(
                                  context.Request.PromptTokens))};
  }
}

} // namespace sardineford::gateway
