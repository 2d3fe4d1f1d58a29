#include "Sardineford/Admission/Admission.h"

#include <algorithm>

namespace sardineford::admission {

namespace {

constexpr uint64_t MaxShortPromptTokens = 1'000;
constexpr uint64_t MaxShortOutputTokens = 96;
constexpr uint64_t MaxNormalPromptTokens = 3'000;
constexpr uint64_t MaxNormalOutputTokens = 384;
/// Ratio of the time to the deadline that the estimate may use.
constexpr double UsableDeadlineRatio = 0.85;
/// A pool is overloaded when an answer would take more than this ratio of the
/// usable time.
constexpr double OverloadRatio = 0.5;
constexpr Milliseconds MinRetryAfter{200};
constexpr Milliseconds NoEngineRetryAfter{1'000};

/// Returns a random delay between the given one and twice that.
Milliseconds withJitter(Milliseconds delay, std::mt19937_64 &random) {
  std::uniform_real_distribution<double> factor(1, 2);
  return Milliseconds(static_cast<int64_t>(static_cast<double>(delay.count()) *
                                           factor(random)));
}

/// Returns true at random for as many of a workspace's requests as exceed its
/// allowed rate.
bool exceedsShare(const WorkspaceShare &share, std::mt19937_64 &random) {
  if (share.AllowedTokensPerSecond <= 0 ||
      share.RequestedTokensPerSecond <= share.AllowedTokensPerSecond)
    return false;
  std::uniform_real_distribution<double> chance(0, 1);
  return chance(random) >
         share.AllowedTokensPerSecond / share.RequestedTokensPerSecond;
}

} // namespace

RequestClass classify(uint64_t promptTokens, uint64_t maxOutputTokens) {
  if (promptTokens <= MaxShortPromptTokens &&
      maxOutputTokens <= MaxShortOutputTokens)
    return RequestClass::Short;
  if (promptTokens > MaxNormalPromptTokens ||
      maxOutputTokens > MaxNormalOutputTokens)
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
    return {RejectionReason::NoEngine, withJitter(NoEngineRetryAfter, random)};
  Seconds usable = timeToDeadline * UsableDeadlineRatio;
  if (route->TimeToCompletion > usable) {
    Milliseconds excess = toMilliseconds(route->TimeToCompletion - usable);
    return {RejectionReason::DeadlineTooShort,
            withJitter(std::max(excess, MinRetryAfter), random)};
  }
  bool isPoolOverloaded = route->TimeToCompletion > usable * OverloadRatio;
  if (isPoolOverloaded && exceedsShare(share, random))
    return {RejectionReason::ShareExceeded,
            withJitter(NoEngineRetryAfter, random)};
  return {};
}

double tokenCost(const routing::EngineSpeeds &speeds, double promptTokens,
                 double outputTokens) {
  auto batch = static_cast<double>(speeds.MaxBatch);
  double decodeRate = batch / routing::stepTime(speeds, batch).count();
  return outputTokens +
         promptTokens * decodeRate / speeds.PrefillTokensPerSecond;
}

double poolCapacity(const routing::PoolView &view) {
  auto batch = static_cast<double>(view.Speeds.MaxBatch);
  double decodeRate = batch / routing::stepTime(view.Speeds, batch).count();
  auto serving = std::count_if(view.Engines.begin(), view.Engines.end(),
                               routing::acceptsWork);
  return decodeRate * static_cast<double>(serving);
}

} // namespace sardineford::admission
