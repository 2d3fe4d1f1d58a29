#pragma once

#include "Gateway/EventSplitter.h"
#include "Gateway/State.h"

namespace sardineford::gateway {

/// Timeout for the first event of a stream that can resume at another engine:
/// this multiple of the estimate, but not below the minimum, because a move
/// costs a second prefill.
inline constexpr double FirstEventTimeoutFactor = 4;
inline constexpr Milliseconds MinFirstEventTimeout{600};

/// Result of one attempt at one engine.
enum class StreamAttemptResult {
  /// The caller received the complete response.
  Complete,
  /// The server did not execute the request.
  NotExecuted,
  /// The connection broke or timed out, or the response was not usable.
  Broken,
  /// The caller has disconnected or cannot be written to.
  CallerGone,
};

/// Progress of one caller's stream over all its attempts.
struct StreamProgress {
  EventSplitter Events;
  std::vector<std::string> TriedServers;
  int PrefillAttempts = 0;
  fleet::WorkPriority Priority = fleet::WorkPriority::Urgent;
  std::optional<Milliseconds> RetryAfter;
  /// Cause and detail of the error response if no further attempt follows.
  FailureCause LastCause = FailureCause::NoServer;
  std::string LastDetail = "no engine is available";
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

/// Sends the request to the planned engine and forwards the response.
Awaitable<StreamAttemptResult> runAttempt(SharedState &shared,
                                          RequestContext &context,
                                          StreamProgress &progress,
                                          AttemptPlan plan);

} // namespace sardineford::gateway
