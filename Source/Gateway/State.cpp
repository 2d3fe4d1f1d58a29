#include "Gateway/State.h"

#include "Sardineford/Common/Log.h"
#include "Sardineford/Common/Random.h"

#include <algorithm>

namespace sardineford::gateway {

namespace {

/// A connection in one region stands within some round trips.
constexpr Milliseconds ConnectTimeout{300};
/// Kept connections that were idle longer may be closed at the other end.
constexpr Milliseconds MaxConnectionIdle{1'500};
constexpr Milliseconds RetryAfterNoCapacity{400};
constexpr Milliseconds RetryAfterFailed{150};

Milliseconds defaultRetryAfter(FailureCause cause) {
  bool noCapacity =
      cause == FailureCause::NoServer || cause == FailureCause::Overloaded;
  return noCapacity ? RetryAfterNoCapacity : RetryAfterFailed;
}

} // namespace

ServiceState &SharedState::service(const std::string &name) {
  auto it = Services.find(name);
  if (it == Services.end())
    it = Services.emplace(name, ServiceState(RetryBounds)).first;
  it->second.RetryBudget.setProcesses(Processes);
  return it->second;
}

void SharedState::setRetryBounds(retry::BudgetBounds bounds) {
  RetryBounds = bounds;
  for (auto &[name, it] : Services)
    it.RetryBudget.setBounds(bounds);
}

Reservation::Reservation(fleet::ServerPtr server, fleet::WorkRank priority,
                         double promptTokens)
    : Server(std::move(server)), Priority(priority),
      PromptTokens(promptTokens) {
  ++Server->Own.Requests;
  Server->Own.tokens(Priority) += PromptTokens;
}

Reservation::~Reservation() {
  releasePromptTokens();
  --Server->Own.Requests;
}

void Reservation::releasePromptTokens() {
  Server->Own.tokens(Priority) -= PromptTokens;
  PromptTokens = 0;
}

http::CallOptions attemptCallOptions(RequestContext &c, bool fresh,
                                     Milliseconds timeout) {
  http::CallOptions o;
  o.ConnectTimeout =
      std::min(ConnectTimeout, std::max(c.remainingTime(), Milliseconds(1)));
  o.Timeout = std::max(timeout, Milliseconds(1));
  o.FreshConnection = fresh;
  o.ResendOnStale = false;
  o.MaxIdle = MaxConnectionIdle;
  o.Guard = std::make_shared<http::CallGuard>();
  c.Guard = o.Guard;
  return o;
}

bool acquireRetry(SharedState &s, RequestContext &c) {
  auto executed = static_cast<int>(std::count_if(
      c.Attempts.all().begin(), c.Attempts.all().end(), [](const Attempt &it) {
        return it.Outcome == AttemptOutcome::Unknown ||
               it.Outcome == AttemptOutcome::Answered;
      }));
  if (executed > 0 && !c.Route->mayRepeat()) {
    c.NoRetryReason = "it may have run, and its route lets it run once";
    return false;
  }
  if (executed >= c.Route->MaxAttempts) {
    c.NoRetryReason = "its route's attempts are used up";
    return false;
  }
  if (c.Attempts.sentCount() == 0)
    return true;
  bool withdrawn = s.service(c.Service).RetryBudget.withdraw(MonoClock::now());
  s.Metrics.count(
      "sardineford_further_attempts_total",
      {{"service", c.Service}, {"taken", withdrawn ? "yes" : "no"}});
  if (!withdrawn)
    c.NoRetryReason = "the retry budget is used up";
  return withdrawn;
}

std::string validateResponse(const ResponseHead &head, const http::Response &r,
                             const std::string &requestId) {
  if (head.RequestId && *head.RequestId != requestId)
    return "the answer belongs to another request";
  if (head.NotExecuted)
    return "";
  bool success = r.Status >= 200 && r.Status < 300;
  if (success && !head.RequestId)
    return "the answer names no request";
  if (!head.Signed)
    return "the answer is not signed";
  if (head.Encoded)
    return "the body is not the server's own";
  return "";
}

void recordRejection(SharedState &s, const fleet::ServerPtr &server,
                     const ResponseHead &head) {
  bool isOtherServer = head.Misdirected && head.RespondingServer &&
                       *head.RespondingServer != server->Entry.Id;
  if (isOtherServer)
    s.Servers.markGone(server, "another server answers at its address");
  else
    server->Faults.failed(fleet::FaultKind::Rejected, MonoClock::now());
}

void recordTransportFault(const RequestContext &c, fleet::Server &server,
                          const http::TransportError &e) {
  if (c.CallerGone)
    return;
  fleet::FaultKind kind = fleet::FaultKind::Broken;
  if (e.Stage == http::TransportStage::NothingSent)
    kind = fleet::FaultKind::Unreachable;
  else if (e.TimedOut)
    kind = fleet::FaultKind::Silent;
  server.Faults.failed(kind, MonoClock::now());
}

Awaitable<void> failRequest(SharedState &s, RequestContext &c,
                            FailureCause cause, std::string detail,
                            std::optional<Milliseconds> retryAfter) {
  c.Status = finalStatus(c.Attempts, cause);
  c.Outcome = std::string(toString(cause)) + ": " + detail;
  if (c.CallerGone)
    co_return;
  s.Metrics.count("sardineford_given_up_total",
                  {{"route", c.Route->Name},
                   {"cause", std::string(toString(cause))},
                   {"status", std::to_string(c.Status)}});
  if (c.Out.started()) {
    c.Out.abort();
    co_return;
  }
  std::optional<Milliseconds> jitteredRetryAfter;
  if (c.Attempts.noneExecuted())
    jitteredRetryAfter =
        jittered(retryAfter.value_or(defaultRetryAfter(cause)));
  http::Response answer = s.Protocol.makeErrorResponse(
      c.Status, c.Request, detail, jitteredRetryAfter);
  co_await c.Out.send(std::move(answer));
}

void logAttempt(const RequestContext &c, const fleet::Server &server,
                const AttemptLogEntry &entry) {
  auto queuedTokens = [&](fleet::WorkRank r) {
    return static_cast<int64_t>(server.tokensAhead(r));
  };
  log::event(log::Category::Gateway, log::Level::Info, "attempt",
             {{"request", c.Request.Id},
              {"step", entry.Step},
              {"server", server.Entry.Id},
              {"own_requests", server.Own.Requests},
              {"others_requests", server.Others.Requests},
              {"urgent_tokens_ahead", queuedTokens(fleet::WorkRank::Urgent)},
              {"tokens_ahead", queuedTokens(fleet::WorkRank::Background)},
              {"estimate_ms", toMilliseconds(entry.Estimate).count()},
              {"patience_ms", entry.Timeout.count()},
              {"took_ms", entry.Duration.count()},
              {"left_ms", c.remainingTime().count()},
              {"outcome", toString(entry.Outcome)},
              {"detail", entry.Detail}});
}

} // namespace sardineford::gateway
