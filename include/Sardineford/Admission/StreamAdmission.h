#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Fleet/WorkInFlight.h"

#include <optional>

namespace sardineford::admission {

/// State by which the admission of a stream is decided.
struct StreamAdmissionInput {
  /// Estimated time to the first event if the request precedes all other work;
  /// empty if no engine accepts work.
  std::optional<Seconds> FirstEstimate;
  /// The same estimate for urgent work.
  std::optional<Seconds> UrgentEstimate;
  /// The same estimate behind all urgent work.
  std::optional<Seconds> BackgroundEstimate;
  /// Part of BackgroundEstimate that prefills the request's own prompt.
  Seconds PromptPrefillTime{0};
  Milliseconds Elapsed{0};
  /// Target for the time to the first event.
  Milliseconds Objective{0};
  /// Callers disconnect after this time without an event.
  Milliseconds CallerTimeout{0};
  /// Requests of this size are served less often than others.
  bool IsUnderserved = false;
  /// Time until the caller's deadline.
  Milliseconds RemainingTime{0};
};

struct StreamDecision {
  /// Empty if the request is rejected.
  std::optional<fleet::WorkPriority> Priority;
  /// Expected time until capacity is available, for a rejected request.
  Milliseconds RetryAfter{0};
};

/// Decides immediately whether a stream is served in time, served late or
/// rejected. Applies when the load exceeds the prefill capacity of the engines:
/// - Requests that can meet the objective have priority, and their queue stays
///   short enough to meet it.
/// - Late requests use the remaining capacity if their first event is expected
///   before the caller disconnects. All sizes have the same limit on the
///   waiting time, so that small requests do not make the queue too long for
///   large ones.
/// - All other requests are rejected while the caller can still use the
///   rejection. Engines then prefill nothing for callers that have
///   disconnected.
///
/// Long prompts that meet the objective only if they start immediately precede
/// all others; the short ones behind them can wait and still be in time.
StreamDecision decideStream(const StreamAdmissionInput &input);

} // namespace sardineford::admission
