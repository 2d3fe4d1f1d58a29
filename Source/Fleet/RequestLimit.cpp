#include "Sardineford/Fleet/RequestLimit.h"

#include <algorithm>
#include <cmath>

namespace sardineford::fleet {

namespace {

/// A process that shares a limit may send about this often at least.
constexpr double MinShare = 1;
/// Requests a second that are sent even if a server takes none, so that the end
/// of the limit is seen.
constexpr double MinLimit = 0.1;
/// Unused requests are kept for this time, and one always.
constexpr Seconds BurstTime{0.25};

} // namespace

bool mergeLimit(RequestLimit &into, const RequestLimit &from) {
  if (from.SeenAt <= into.SeenAt)
    return false;
  bool isNews = into.PerSecond != from.PerSecond;
  into = from;
  return isNews;
}

RequestLimit limitAfterResponse(const RequestLimit &known,
                                std::optional<double> named, MonoTime sentAt,
                                MonoTime now) {
  if (!named && known.PerSecond && sentAt <= known.SeenAt)
    return known;
  return {named, now};
}

double shareOfLimit(double perSecond, size_t rank, size_t processes) {
  double limit = std::max(perSecond, MinLimit);
  auto sharers = static_cast<size_t>(std::clamp(
      std::floor(limit / MinShare), 1.0, std::max(1.0, double(processes))));
  return rank < sharers ? limit / static_cast<double>(sharers) : 0;
}

void refillTokens(RequestTokens &tokens, double perSecond, MonoTime now) {
  double most = std::max(1.0, perSecond * BurstTime.count());
  tokens.Available = std::min(
      most, tokens.Available + perSecond * toSeconds(now - tokens.UpdatedAt));
  tokens.UpdatedAt = now;
}

} // namespace sardineford::fleet
