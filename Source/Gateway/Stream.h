#pragma once

#include "Gateway/EventSplitter.h"
#include "Gateway/State.h"

namespace sardineford::gateway {

/// A stream that may go on elsewhere is given up at a silent engine after
/// this many times what was expected, and not before the least patience:
/// moving it costs a second prefill.
inline constexpr double FirstEventTimeoutFactor = 4;
inline constexpr Milliseconds MinFirstEventTimeout{600};

/// How one run at one engine ended.
enum class StreamAttemptResult {
  /// The caller has the whole answer.
  Complete,
  /// The server did not run it.
  NotExecuted,
  /// The server broke off, or never answered.
  Broken,
  /// The caller has left, or cannot be given more.
  CallerGone,
};

/// StreamProgress of one caller's stream over all servers.
struct StreamProgress {
  EventSplitter Events;
  std::vector<std::string> TriedServers;
  int PrefillAttempts = 0;
  fleet::WorkRank Priority = fleet::WorkRank::Urgent;
  std::optional<Milliseconds> RetryAfter;
  /// Why no engine has it, should it be given up on now.
  FailureCause LastCause = FailureCause::NoServer;
  std::string LastDetail = "no engine is known";
};

/// What one run needs to know of its placing.
struct AttemptPlan {
  fleet::ServerPtr Server;
  std::optional<KvHandle> Handle;
  double Tokens = 0;
  Seconds Estimate{0};
};

/// Options of a send by the rank of the stream's work.
AttemptOptions makeAttemptOptions(const RequestContext &c,
                                  const StreamProgress &p,
                                  const fleet::ServerPtr &server);

/// Learns from a phase that took so long for so many prompt tokens.
void recordPhaseDuration(routing::SpeedModel &model, fleet::Server &server,
                         double units, Seconds took);

/// Frees a handle that no engine took.
void freeHandle(SharedState &s, const KvHandle &handle);

/// Size of a request as fairness counts it.
double fairnessSize(const RequestContext &c);

/// Places the request and, where that is sooner, has its prompt prefilled
/// apart. Empty when no engine can take it, or it is refused.
Awaitable<std::optional<AttemptPlan>>
planAttempt(SharedState &s, RequestContext &c, StreamProgress &p);

/// One run at one engine.
Awaitable<StreamAttemptResult> runAttempt(SharedState &s, RequestContext &c,
                                          StreamProgress &p, AttemptPlan plan);

} // namespace sardineford::gateway
