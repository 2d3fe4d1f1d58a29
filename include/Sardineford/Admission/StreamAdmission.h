#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Fleet/WorkInFlight.h"

#include <optional>

namespace sardineford::admission {

/// What is known when a stream asks for a place.
struct StreamAdmissionInput {
  /// Estimated time to the first event ahead of all other work; empty when no
  /// engine takes any.
  std::optional<Seconds> FirstEstimate;
  /// The same as urgent work.
  std::optional<Seconds> UrgentEstimate;
  /// The same behind all urgent work.
  std::optional<Seconds> BackgroundEstimate;
  /// Part of it in which the request's own prompt is prefilled.
  Seconds PromptPrefillTime{0};
  Milliseconds Elapsed{0};
  Milliseconds Objective{0};
  /// Callers leave when nothing has come for this long.
  Milliseconds CallerTimeout{0};
  /// Requests of its size have been served too seldom.
  bool IsUnderserved = false;
  /// Time left until the caller's deadline.
  Milliseconds RemainingTime{0};
};

struct StreamDecision {
  /// Empty when the request is refused.
  std::optional<fleet::WorkRank> Priority;
  /// When room is expected, for a refused one.
  Milliseconds RetryAfter{0};
};

/// Decides at once whether a stream is served in time, late, or not at all.
/// Answers loads above what the engines can prefill: work that can be in time
/// goes first and its queue stays short enough for that; late work takes what
/// is left, up to what callers wait for; the rest is refused while its refusal
/// is still of use, instead of being prefilled for callers who have left. Late
/// work waits equally long whatever its size, so that small requests do not
/// keep the queue too long for large ones. Large prompts that are in time only
/// if they begin at once do so; the small ones behind them have time to wait.
StreamDecision decideStream(const StreamAdmissionInput &o);

} // namespace sardineford::admission
