#pragma once

#include "Gateway/EngineView.h"
#include "Gateway/EventSplitter.h"
#include "Gateway/State.h"

#include <algorithm>
#include <optional>

namespace sardineford::gateway {

/// Timeout for the first event of a stream that can resume at another engine:
/// this multiple of the estimate, but not below the minimum, because a move
/// costs a second prefill.
inline constexpr double FirstEventTimeoutFactor = 4;
inline constexpr Milliseconds MinFirstEventTimeout{600};

/// State of one attempt at one engine after it has received something.
enum class StreamAttemptResult {
  /// More is expected.
  Continues,
  /// The caller received the complete response.
  Complete,
  /// The server did not execute the request.
  NotExecuted,
  /// The connection broke or timed out, or the response was not usable.
  Broken,
  /// The caller has disconnected or cannot be written to.
  CallerGone,
  /// The request was passed on to a peer, and is done.
  PassedOn,
};

/// Progress of one caller's stream over all its attempts.
struct StreamProgress {
  EventSplitter Events;
  /// Of the incomplete event. Set while an attempt forwards events.
  std::optional<http::MemoryShare> PendingBytes;
  /// Time at which the last events were forwarded.
  MonoTime LastEventAt{};
  EngineFilter Filter;
  /// Responses of the open attempts. If one arrives while a further attempt is
  /// planned, the plan is dropped.
  std::vector<http::ResponseStream *> OpenResponses;
  /// No further attempt is planned before this time.
  MonoTime NextMoveAt{};
  int PrefillAttempts = 0;
  fleet::WorkPriority Priority = fleet::WorkPriority::Urgent;
  std::optional<Milliseconds> RetryAfter;
  /// Cause and detail of the error response if no further attempt follows.
  FailureCause LastCause = FailureCause::NoServer;
  std::string LastDetail = "no engine is available";

  bool hasOpenResponse() const {
    return std::any_of(OpenResponses.begin(), OpenResponses.end(),
                       [](auto *it) { return it->isReady(); });
  }
};

/// Server and estimates of one attempt.
struct AttemptPlan {
  fleet::ServerPtr Server;
  /// Set if the prompt was prefilled separately.
  std::optional<KvHandle> Handle;
  /// Prompt tokens to prefill, or to fetch if `Handle` is set.
  double Tokens = 0;
  /// Estimated time to first event.
  Seconds Estimate{0};
};

/// Makes a request that takes up a stream continue it at the service and the
/// software version that began it. Returns false if these are not known and
/// several are possible.
Awaitable<bool> findStreamOrigin(SharedState &shared, RequestContext &context,
                                 StreamProgress &progress);

/// Records where a stream begins or goes on. Called before anything of it is
/// forwarded.
void recordStreamOrigin(SharedState &shared, const RequestContext &context,
                        const fleet::Server &server);

struct OpenStreamAttempt : OpenAttempt {
  OpenStreamAttempt(SharedState &shared, AttemptPlan plan,
                    fleet::WorkPriority priority)
      : Plan(std::move(plan)), QueuedTokens(Plan.Server->tokensAhead(priority)),
        Requests(Plan.Server->requests() + 1),
        InFlight(shared, Plan.Server, priority, Plan.Handle ? 0 : Plan.Tokens) {
  }

  AttemptPlan Plan;
  /// Prompt tokens ahead of the request and number of requests at the engine,
  /// at the start.
  double QueuedTokens;
  unsigned Requests;
  Reservation InFlight;
  /// Negative until the first event.
  Seconds TimeToFirstEvent{-0.001};
  /// The caller receives the events of this attempt.
  bool Forwards = false;
  /// The answer has been received without a long pause since this time.
  MonoTime SteadySince{};
  /// The answer has gone on for longer than one that crashes its server.
  bool IsSound = false;
};

using OpenStreamAttemptPtr = std::unique_ptr<OpenStreamAttempt>;

/// Returns the options of an attempt, with the engine priority for the stream's
/// priority.
AttemptOptions makeAttemptOptions(const RequestContext &context,
                                  const StreamProgress &progress,
                                  const fleet::ServerPtr &server);

/// Updates the speed model and the slowness of the server with the duration of
/// a phase. `units` is the number of its prompt tokens, including those queued
/// ahead.
void recordPhaseDuration(routing::SpeedModel &model, fleet::Server &server,
                         double units, Seconds duration);

/// Frees a handle that no decode engine has used.
void freeHandle(SharedState &shared, const KvHandle &handle);

/// Returns the size of a request for size fairness.
double fairnessSize(const RequestContext &context);

/// Chooses an engine for the next attempt. If a separate prefill gives an
/// earlier first event, also prefills the prompt. Returns nothing if no engine
/// can serve the request or admission rejects it.
Awaitable<std::optional<AttemptPlan>> planAttempt(SharedState &shared,
                                                  RequestContext &context,
                                                  StreamProgress &progress);

/// Sends the request to the planned engine. Returns nothing if the engine
/// cannot be reached.
Awaitable<OpenStreamAttemptPtr> startAttempt(SharedState &shared,
                                             RequestContext &context,
                                             StreamProgress &progress,
                                             AttemptPlan plan);

/// Receives what has arrived: the head, or events, which are forwarded to the
/// caller. All other attempts are ended before the first event of this one is
/// forwarded.
Awaitable<StreamAttemptResult> advanceAttempt(SharedState &shared,
                                              RequestContext &context,
                                              StreamProgress &progress,
                                              OpenStreamAttempt &attempt);

/// Records the outcome of an attempt in the request and in the log.
void endAttempt(RequestContext &context, const OpenStreamAttempt &attempt,
                AttemptOutcome outcome, std::string_view detail);

} // namespace sardineford::gateway
