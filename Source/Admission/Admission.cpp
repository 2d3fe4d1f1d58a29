#include "Sardineford/Admission/Admission.h"

#include <algorithm>

namespace sardineford::admission {

namespace {

constexpr uint64_t ShortPromptTokens = 1'000;
constexpr uint64_t ShortOutputTokens = 96;
constexpr uint64_t LongPromptTokens = 3'000;
constexpr uint64_t LongOutputTokens = 384;
/// Part of the deadline that the estimate may fill.
constexpr double EstimateMargin = 0.85;
/// A pool counts as short when an answer would take this part of its time.
constexpr double ShortPoolShare = 0.5;
constexpr Milliseconds MinRetryAfter{200};
constexpr Milliseconds NoEngineRetryAfter{1'000};

/// Spreads a time over [d, 2 d].
Milliseconds spread(Milliseconds d, std::mt19937_64 &random) {
  std::uniform_real_distribution<double> factor(1, 2);
  return Milliseconds(
      static_cast<int64_t>(static_cast<double>(d.count()) * factor(random)));
}

/// Refuses the part of a workspace's requests that is over its allowance.
bool isOverShare(const WorkspaceShare &s, std::mt19937_64 &random) {
  if (s.AllowedTokensPerSecond <= 0 ||
      s.RequestedTokensPerSecond <= s.AllowedTokensPerSecond)
    return false;
  std::uniform_real_distribution<double> chance(0, 1);
  return chance(random) > s.AllowedTokensPerSecond / s.RequestedTokensPerSecond;
}

} // namespace

RequestClass classify(uint64_t promptTokens, uint64_t maxOutputTokens) {
  if (promptTokens <= ShortPromptTokens && maxOutputTokens <= ShortOutputTokens)
    return RequestClass::Short;
  if (promptTokens > LongPromptTokens || maxOutputTokens > LongOutputTokens)
    return RequestClass::Long;
  return RequestClass::Normal;
}

std::string_view toString(RequestClass c) {
  switch (c) {
  case RequestClass::Long:
    return "long";
  case RequestClass::Normal:
    return "normal";
  case RequestClass::Short:
    return "short";
  }
  return "normal";
}

Decision decide(const std::optional<routing::Route> &route,
                Seconds timeToDeadline, const WorkspaceShare &share,
                std::mt19937_64 &random) {
  if (!route)
    return {RejectionReason::NoEngine, spread(NoEngineRetryAfter, random)};
  Seconds usable = timeToDeadline * EstimateMargin;
  if (route->TimeToCompletion > usable) {
    Milliseconds excess = toMilliseconds(route->TimeToCompletion - usable);
    return {RejectionReason::DeadlineTooShort,
            spread(std::max(excess, MinRetryAfter), random)};
  }
  bool poolIsShort = route->TimeToCompletion > usable * ShortPoolShare;
  if (poolIsShort && isOverShare(share, random))
    return {RejectionReason::ShareExceeded, spread(NoEngineRetryAfter, random)};
  return {};
}

double tokenCost(const routing::EngineSpeeds &s, double promptTokens,
                 double outputTokens) {
  auto batch = static_cast<double>(s.MaxBatch);
  double decodeRate = batch / routing::stepTime(s, batch).count();
  return outputTokens + promptTokens * decodeRate / s.PrefillTokensPerSecond;
}

double poolCapacity(const routing::PoolView &view) {
  auto batch = static_cast<double>(view.Speeds.MaxBatch);
  double decodeRate = batch / routing::stepTime(view.Speeds, batch).count();
  auto serving = std::count_if(view.Engines.begin(), view.Engines.end(),
                               routing::acceptsWork);
  return decodeRate * static_cast<double>(serving);
}

} // namespace sardineford::admission
