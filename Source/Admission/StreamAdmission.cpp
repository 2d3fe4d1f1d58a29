#include "Sardineford/Admission/StreamAdmission.h"

#include <algorithm>

namespace sardineford::admission {

namespace {

/// Ratio of the objective that the estimate may use. Estimates are too high,
/// because the work ahead is partly prefilled; a request that is put behind all
/// others for a small difference is late for certain.
constexpr double UrgentObjectiveRatio = 1.1;
/// A prompt is long, and cannot wait for others, if its prefill takes at least
/// this ratio of the time to the objective.
constexpr double LongPrefillRatio = 0.35;
/// The same for long prompts, behind which others wait in any case: engines do
/// not interrupt a prefill.
constexpr double FirstEstimateFactor = 2;
/// Ratio of the caller timeout that the estimate of a late request may use.
constexpr double BackgroundTimeoutRatio = 0.85;
/// Ratio of the caller timeout that a late request may wait; the rest is for
/// the prefill of its own prompt.
constexpr double MaxWaitRatio = 0.45;
constexpr Milliseconds MinRetryAfter{150};
constexpr Milliseconds MaxRetryAfter{2'000};
/// Time in which an engine may become available again.
constexpr Milliseconds NoEngineRetryAfter{500};

} // namespace

StreamDecision decideStream(const StreamAdmissionInput &input) {
  using fleet::WorkPriority;
  if (!input.FirstEstimate || !input.UrgentEstimate ||
      !input.BackgroundEstimate)
    return {std::nullopt, NoEngineRetryAfter};
  Seconds objective =
      Seconds(input.Objective) * UrgentObjectiveRatio - Seconds(input.Elapsed);
  bool isLong = input.PromptPrefillTime >= objective * LongPrefillRatio;
  if (isLong && *input.FirstEstimate <= objective * FirstEstimateFactor)
    return {WorkPriority::First, {}};
  if (*input.UrgentEstimate <= objective)
    return {WorkPriority::Urgent, {}};
  Seconds timeout =
      std::min(Seconds(input.CallerTimeout) * BackgroundTimeoutRatio,
               Seconds(input.RemainingTime));
  Seconds wait = *input.BackgroundEstimate - input.PromptPrefillTime;
  bool isWaitAcceptable = wait <= Seconds(input.CallerTimeout) * MaxWaitRatio;
  if (*input.BackgroundEstimate <= timeout && isWaitAcceptable)
    return {WorkPriority::Background, {}};
  if (*input.UrgentEstimate <= timeout && input.IsUnderserved)
    return {WorkPriority::Urgent, {}};
  Milliseconds backlog =
      toMilliseconds(*input.BackgroundEstimate - Seconds(input.Objective));
  return {std::nullopt, std::clamp(backlog, MinRetryAfter, MaxRetryAfter)};
}

} // namespace sardineford::admission
