#include "Sardineford/Admission/StreamAdmission.h"

#include <algorithm>

namespace sardineford::admission {

namespace {

/// Part of the objective that the estimate may fill: estimates err both ways.
constexpr double UrgentShare = 0.9;
/// A prompt that takes this part of the time it has cannot wait for others.
constexpr double LongShare = 0.35;
/// Estimates of long prompts are high by about this: what is ahead of them has
/// been prefilled in part.
constexpr double FirstStretch = 1.3;
/// Part of the callers' patience that the estimate of late work may fill.
constexpr double BackgroundShare = 0.85;
/// Part of it that may be spent waiting; the rest is for the prompt itself.
constexpr double WaitShare = 0.45;
constexpr Milliseconds LeastRetryAfter{150};
constexpr Milliseconds MostRetryAfter{2'000};
/// Without any engine, the time in which one may be back.
constexpr Milliseconds NoEngineRetryAfter{500};

} // namespace

StreamDecision decideStream(const StreamAdmissionInput &o) {
  using fleet::WorkRank;
  if (!o.FirstEstimate || !o.UrgentEstimate || !o.BackgroundEstimate)
    return {std::nullopt, NoEngineRetryAfter};
  Seconds objective = Seconds(o.Objective) * UrgentShare - Seconds(o.Elapsed);
  bool isLong = o.PromptPrefillTime >= objective * LongShare;
  if (isLong && *o.FirstEstimate <= objective * FirstStretch)
    return {WorkRank::First, {}};
  if (*o.UrgentEstimate <= objective)
    return {WorkRank::Urgent, {}};
  Seconds patience = std::min(Seconds(o.CallerTimeout) * BackgroundShare,
                              Seconds(o.RemainingTime));
  Seconds wait = *o.BackgroundEstimate - o.PromptPrefillTime;
  bool waitsLikeOthers = wait <= Seconds(o.CallerTimeout) * WaitShare;
  if (*o.BackgroundEstimate <= patience && waitsLikeOthers)
    return {WorkRank::Background, {}};
  if (*o.UrgentEstimate <= patience && o.IsUnderserved)
    return {WorkRank::Urgent, {}};
  Milliseconds backlog =
      toMilliseconds(*o.BackgroundEstimate - Seconds(o.Objective));
  return {std::nullopt, std::clamp(backlog, LeastRetryAfter, MostRetryAfter)};
}

} // namespace sardineford::admission
