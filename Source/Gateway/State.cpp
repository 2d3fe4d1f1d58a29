#include "Gateway/State.h"

#include "Gateway/ConnectionLimits.h"
#include "Gateway/PaceTracking.h"
#include "Gateway/PassOn.h"

#include "Sardineford/Common/Log.h"
#include "Sardineford/Common/Random.h"
#include "Sardineford/Gateway/ConnectionReuse.h"

#include <algorithm>

namespace sardineford::gateway {

namespace {

/// Connecting within one region takes a few round trips.
constexpr Milliseconds ConnectTimeout{300};
constexpr Milliseconds RetryAfterNoCapacity{400};
constexpr Milliseconds RetryAfterFailed{150};
/// Silence that several requests notice within this time counts once against
/// the health of a server.
constexpr Milliseconds SilenceInterval{400};
constexpr std::string_view BudgetExhausted = "the retry budget is exhausted";

/// A blocked prompt part stays blocked for longer than callers wait.
constexpr Milliseconds RetryAfterBlocked{30'000};

Milliseconds defaultRetryAfter(FailureCause cause) {
  if (cause == FailureCause::Blocked)
    return RetryAfterBlocked;
  bool noCapacity =
      cause == FailureCause::NoServer || cause == FailureCause::Overloaded;
  return noCapacity ? RetryAfterNoCapacity : RetryAfterFailed;
}

} // namespace

ServiceState &SharedState::service(const std::string &name) {
  auto it = Services.find(name);
  if (it == Services.end())
    it = Services.emplace(name, ServiceState(RetryBounds, StartedAt)).first;
  it->second.RetryBudget.setProcesses(Processes, MonoClock::now());
  it->second.RetryBudget.setFirstStart(IsFirstStart);
  return it->second;
}

void SharedState::setRetryBounds(retry::BudgetBounds bounds) {
  RetryBounds = bounds;
  for (auto &[name, it] : Services)
    it.RetryBudget.setBounds(bounds);
}

Reservation::Reservation(SharedState &shared, fleet::ServerPtr server,
                         fleet::WorkPriority priority, double promptTokens)
    : Shared(shared), Server(std::move(server)), Priority(priority),
      PromptTokens(promptTokens), InitialPromptTokens(promptTokens),
      StartedAt(MonoClock::now()) {
  ++Server->LocalWork.Requests;
  Server->LocalWork.tokens(Priority) += PromptTokens;
  Shared.Tracking.recordChange(Server->Entry.Id);
}

Reservation::~Reservation() {
  releasePromptTokens();
  ServiceState &service = Shared.service(Server->Entry.Service);
  service.Done.InFlight += MonoClock::now() - StartedAt;
  service.Done.Prefills +=
      service.SpeedModels.Prefill.perUnit() * InitialPromptTokens;
  --Server->LocalWork.Requests;
  Shared.Tracking.recordChange(Server->Entry.Id);
}

void Reservation::releasePromptTokens() {
  if (PromptTokens == 0)
    return;
  Server->LocalWork.tokens(Priority) -= PromptTokens;
  PromptTokens = 0;
  Shared.Tracking.recordChange(Server->Entry.Id);
}

std::vector<duties::OrderableService> orderableServices(SharedState &shared) {
  std::vector<duties::OrderableService> out;
  if (!shared.Watch.routes())
    return out;
  for (const auto &[name, spec] : shared.Watch.routes()->config().Services) {
    if (!spec.Scaling)
      continue;
    duties::OrderableService service;
    service.Name = name;
    service.Bounds = *spec.Scaling;
    service.Done = shared.service(name).Done;
    for (const fleet::ServerPtr &it : shared.Servers.ofService(name)) {
      ++service.Present[it->Entry.FailureDomain];
      service.SlotsPerServer = it->Entry.Slots;
    }
    out.push_back(std::move(service));
  }
  return out;
}

http::CallOptions attemptCallOptions(RequestContext &context,
                                     const http::Endpoint &to, bool mayRepeat,
                                     Milliseconds timeout) {
  bool idSentBefore = !context.SentTo.insert(to).second;
  http::CallOptions options;
  options.ConnectTimeout = std::min(
      ConnectTimeout, std::max(context.remainingTime(), Milliseconds(1)));
  options.Timeout = std::max(timeout, Milliseconds(1));
  options.FreshConnection = needsNewConnection({mayRepeat, idSentBefore});
  options.ResendOnStale = false;
  options.MaxIdleTime = MaxConnectionIdle;
  options.Abort = std::make_shared<http::AbortHandle>();
  std::erase_if(context.Guards, [](const auto &it) { return it.expired(); });
  context.Guards.push_back(options.Abort);
  return options;
}

std::string_view findRetryObstacle(SharedState &shared,
                                   const RequestContext &context) {
  auto possiblyExecuted = static_cast<int>(
      std::count_if(context.Attempts.all().begin(),
                    context.Attempts.all().end(), [](const Attempt &it) {
                      return it.Outcome == AttemptOutcome::Unknown ||
                             it.Outcome == AttemptOutcome::Answered;
                    }));
  if (possiblyExecuted > 0 && !context.Route->mayRepeat())
    return "the request may have been executed and its route is not repeatable";
  if (possiblyExecuted >= context.Route->MaxAttempts)
    return "the route allows no further attempts";
  if (context.Attempts.countedCalls() > 0 &&
      shared.service(context.Service).RetryBudget.remaining(MonoClock::now()) <
          1)
    return BudgetExhausted;
  return "";
}

bool acquireRetry(SharedState &shared, RequestContext &context) {
  context.NoRetryReason = findRetryObstacle(shared, context);
  bool allowed = context.NoRetryReason.empty();
  if (context.Attempts.countedCalls() == 0)
    return allowed;
  if (allowed)
    shared.service(context.Service).RetryBudget.withdraw(MonoClock::now());
  if (allowed || context.NoRetryReason == BudgetExhausted)
    shared.Metrics.count(
        "sardineford_further_attempts_total",
        {{"service", context.Service}, {"taken", allowed ? "yes" : "no"}});
  return allowed;
}

std::string validateResponse(const ResponseHead &head,
                             const http::Response &response,
                             const std::string &requestId) {
  if (isOfOtherRequest({requestId, head.RequestId, head.NotExecuted}))
    return "the response belongs to another request";
  if (head.NotExecuted)
    return "";
  bool success = response.Status >= 200 && response.Status < 300;
  if (success && !head.RequestId)
    return "the response has no request id";
  if (!head.Signed)
    return "the response is not signed";
  if (head.Encoded)
    return "the response body has a content encoding";
  return "";
}

void settleConnection(SharedState &shared, const std::string &requestId,
                      http::ResponseStream &response) {
  ResponseHead head = shared.Protocol.decodeHead(response.head());
  Exchange exchange{requestId, head.RequestId, head.NotExecuted};
  bool mayReuse = mayReuseConnection(exchange);
  if (!mayReuse)
    response.close();
  if (head.NotExecuted)
    shared.Metrics.count("sardineford_rejections_total",
                         {{"connection", mayReuse ? "kept" : "closed"}});
}

Awaitable<http::Response> callServer(SharedState &shared, http::Endpoint to,
                                     http::Request request,
                                     http::CallOptions options) {
  MonoTime deadline = MonoClock::now() + options.Timeout;
  std::unique_ptr<http::ResponseStream> response = co_await shared.Client.open(
      std::move(to), std::move(request), std::move(options));
  http::Response out = response->head();
  out.Body = co_await http::readBody(*response, shared.Client.receiveMemory(),
                                     deadline);
  settleConnection(shared, "", *response);
  // Without an id, a copy could be taken for the response of a later request,
  // which needs one only if it is a success.
  bool success = out.Status >= 200 && out.Status < 300;
  if (!success)
    response->close();
  co_return out;
}

void recordRejection(SharedState &shared, const fleet::ServerPtr &server,
                     const ResponseHead &head) {
  bool isOtherServer = head.Misdirected && head.RespondingServer &&
                       *head.RespondingServer != server->Entry.Id;
  if (isOtherServer)
    shared.Servers.removePermanently(server,
                                     "another server responds at its address");
  else if (!head.RetryAfter)
    server->Health.recordFailure(fleet::FailureKind::Rejected,
                                 MonoClock::now());
  if (!isOtherServer)
    recordPaceFailure(shared, *server, fleet::PaceEvent::Rejected);
}

void recordTransportFault(SharedState &shared, const RequestContext &context,
                          fleet::Server &server, const http::TransportError &e,
                          bool hasResponded) {
  if (context.CallerGone || e.AtLimit)
    return;
  if (e.ResetOnNew && recordResetOnNew(shared, server))
    return;
  ServiceReach &reach = shared.service(server.Entry.Service).Reach;
  if (!hasResponded)
    reach.recordUnreachable(server.Entry.Id, MonoClock::now());
  // The links are down, not the servers.
  if (reach.isCutOff())
    return;
  fleet::FailureKind kind = fleet::FailureKind::Broken;
  if (e.Stage == http::TransportStage::NothingSent)
    kind = fleet::FailureKind::Unreachable;
  else if (e.TimedOut)
    kind = fleet::FailureKind::TimedOut;
  server.Health.recordFailure(kind, MonoClock::now());
  recordPaceFailure(shared, server, fleet::PaceEvent::Failed);
}

void countUsage(const SharedState &shared, RequestContext &context) {
  if (!shared.CountUsage || !context.Workspace ||
      std::exchange(context.IsUsageCounted, true))
    return;
  shared.CountUsage(context.Workspace->Name);
}

void recordContact(SharedState &shared, const fleet::Server &server) {
  shared.service(server.Entry.Service)
      .Reach.recordContact(server.Entry.Id, MonoClock::now());
}

bool isCutOffFromServices(const SharedState &shared) {
  return std::count_if(
             shared.Services.begin(), shared.Services.end(),
             [](const auto &it) { return it.second.Reach.isCutOff(); }) > 1;
}

void recordSilence(SharedState &shared, fleet::Server &server) {
  shared.Metrics.count("sardineford_silences_total",
                       {{"service", server.Entry.Service}});
  // All requests at a silent server find the same.
  MonoTime now = MonoClock::now();
  if (now - std::exchange(server.SilentAt, now) < SilenceInterval)
    return;
  ServiceReach &reach = shared.service(server.Entry.Service).Reach;
  reach.recordUnreachable(server.Entry.Id, now);
  if (!reach.isCutOff())
    server.Health.recordFailure(fleet::FailureKind::TimedOut, now);
  shared.Client.closeIdle(server.Entry.Address);
}

bool yieldsToOthers(SharedState &shared, const RequestContext &context) {
  // A stream that has begun is continued.
  if (!context.Workspace || context.Request.ResumeAfter)
    return false;
  double ratio = shared.RouteStates[context.Route->Name].Fairness.yieldRatio(
      context.Workspace->Name);
  return ratio > 0 && std::bernoulli_distribution(ratio)(shared.Random);
}

Awaitable<void> failRequest(SharedState &shared, RequestContext &context,
                            FailureCause cause, std::string detail,
                            std::optional<Milliseconds> retryAfter) {
  context.Status = finalStatus(context.Attempts, cause);
  context.Outcome = std::string(toString(cause)) + ": " + detail;
  if (context.CallerGone)
    co_return;
  shared.Metrics.count("sardineford_given_up_total",
                       {{"route", context.Route->Name},
                        {"cause", std::string(toString(cause))},
                        {"status", std::to_string(context.Status)}});
  if (context.Out.started()) {
    shared.Metrics.count("sardineford_responses_cut_total",
                         {{"route", context.Route->Name},
                          {"cause", std::string(toString(cause))}});
    context.Out.abort();
    co_return;
  }
  std::optional<Milliseconds> jitteredRetryAfter;
  if (context.Attempts.noneExecuted())
    jitteredRetryAfter =
        jittered(retryAfter.value_or(defaultRetryAfter(cause)));
  // Before that time no server accepts the request.
  if (jitteredRetryAfter && context.OpensIn)
    *jitteredRetryAfter += *context.OpensIn;
  http::Response response = shared.Protocol.makeErrorResponse(
      context.Status, context.Request, detail, jitteredRetryAfter);
  bool mayReachServers =
      shared.service(context.Service).Reach.unreachableServers() == 0;
  if (context.IsPassedOn && context.Attempts.noneExecuted() && !mayReachServers)
    response.Fields.add(std::string(TryOtherPeerHeader), "1");
  co_await context.Out.send(std::move(response));
}

void logAttempt(const RequestContext &context, const fleet::Server &server,
                const AttemptLogEntry &entry) {
  auto queuedTokens = [&](fleet::WorkPriority r) {
    return static_cast<int64_t>(server.tokensAhead(r));
  };
  log::event(
      log::Category::Gateway, log::Level::Info, "attempt",
      {{"request", context.Request.Id},
       {"step", entry.Step},
       {"server", server.Entry.Id},
       {"software_version", server.Entry.SoftwareVersion},
       {"own_requests", server.LocalWork.Requests},
       {"others_requests", server.PeerWork.Requests},
       {"urgent_tokens_ahead", queuedTokens(fleet::WorkPriority::Urgent)},
       {"tokens_ahead", queuedTokens(fleet::WorkPriority::Background)},
       {"tokens", static_cast<int64_t>(entry.Tokens)},
       {"tokens_ahead_at_start", static_cast<int64_t>(entry.QueuedTokens)},
       {"estimate_ms", toMilliseconds(entry.Estimate).count()},
       {"patience_ms", entry.Timeout.count()},
       {"took_ms", entry.Duration.count()},
       {"silent_ms", entry.Silence.count()},
       {"response_age_ms", entry.ResponseAge.count()},
       {"request_limit", entry.RequestLimit.value_or(-1)},
       {"server_leaving", server.Leaving},
       {"server_closed_ms",
        std::max<int64_t>(
            0, toMilliseconds(server.ClosedUntil - MonoClock::now()).count())},
       {"left_ms", context.remainingTime().count()},
       {"outcome", toString(entry.Outcome)},
       {"detail", entry.Detail}});
}

} // namespace sardineford::gateway
