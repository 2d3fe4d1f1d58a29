#include "Fleet/WatchDuty.h"

#include <algorithm>

namespace sardineford::fleet {

namespace {

/// Up to this many processes, each watches the store itself.
constexpr unsigned MaxSmallFleet = 12;
/// Some of them may be gone or cut off from the store at the same time.
constexpr unsigned NumWatchers = 6;
constexpr unsigned NumPublishers = 2;
/// Several reports of several watchers are missing after this time.
constexpr Milliseconds SubstituteDelay{2'000};
/// Mean interval between the attempts of all substitutes of a fleet.
constexpr Milliseconds SubstituteInterval{100};

} // namespace

bool WatchDuty::isLarge() const { return Position.Processes > MaxSmallFleet; }

bool WatchDuty::isSubstitute(MonoTime now) const {
  return Position.Rank >= NumWatchers && now >= SubstituteAt;
}

void WatchDuty::recordPeerAnswer(unsigned rank, MonoTime answeredAt,
                                 double share) {
  PeerAnsweredAt = std::max(PeerAnsweredAt, answeredAt);
  if (rank >= Position.Rank)
    return;
  Seconds spread = Seconds(SubstituteInterval) * Position.Processes * share;
  SubstituteAt = std::max(SubstituteAt, answeredAt + SubstituteDelay +
                                            toMilliseconds(spread));
}

bool WatchDuty::mustWatch(MonoTime now) const {
  return !isLarge() || Position.Rank < NumWatchers || isSubstitute(now);
}

bool WatchDuty::mustPublish(MonoTime now) const {
  return isLarge() && (Position.Rank < NumPublishers || isSubstitute(now));
}

unsigned WatchDuty::watchers() const {
  return isLarge() ? NumWatchers : Position.Processes;
}

} // namespace sardineford::fleet
