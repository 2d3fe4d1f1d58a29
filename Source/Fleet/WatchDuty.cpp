#include "Fleet/WatchDuty.h"

#include <algorithm>

namespace sardineford::fleet {

namespace {

/// Up to this many processes, each watches the store itself.
constexpr unsigned MaxSmallFleet = 12;
/// Some of them may be gone or cut off from the store at the same time.
constexpr unsigned NumWatchers = 6;
constexpr unsigned NumPublishers = 2;
/// A watcher that has not lost the store reports at least twice in this time.
constexpr Milliseconds MaxReportAge{1'200};
/// The watch calls of the watchers end at different times, one after another
/// well within this time, also after a change (firstWatchPart).
constexpr Milliseconds MaxAnswerInterval{1'500};
/// Several reports of several watchers are missing after this time.
constexpr Milliseconds SubstituteDelay{2'000};
/// All watchers report at least once in this time, each on a path of its own.
constexpr Milliseconds SilenceDelay{800};
/// The publishers collect changes for less than this time.
constexpr Milliseconds PublishPatience{400};
/// A watcher lets the one before it send first.
constexpr Milliseconds PublishPatienceStep{60};
/// Mean interval between the attempts of all substitutes of a fleet.
constexpr Milliseconds SubstituteInterval{100};

} // namespace

bool WatchDuty::isLarge() const { return Position.Processes > MaxSmallFleet; }

bool WatchDuty::isSubstitute(MonoTime now) const {
  return Position.Rank >= NumWatchers &&
         (now >= SubstituteAt || areWatchersSilent(now));
}

void WatchDuty::recordPeerAnswer(unsigned rank, MonoTime answeredAt,
                                 MonoTime now, double share) {
  std::erase_if(WatcherReports,
                [&](const auto &it) { return now - it.second > MaxReportAge; });
  WatcherReports[rank] = now;
  LossReports.erase(rank);
  PeerAnsweredAt = std::max(PeerAnsweredAt, answeredAt);
  if (rank >= Position.Rank)
    return;
  SubstituteAt = std::max(SubstituteAt, answeredAt + SubstituteDelay +
                                            substituteSpread(share));
}

void WatchDuty::recordWatcher(unsigned rank, MonoTime now, double share) {
  if (rank < Position.Rank)
    SubstituteIfSilentAt = now + SilenceDelay + substituteSpread(share);
}

void WatchDuty::recordLoss(unsigned rank, MonoTime now) {
  std::erase_if(LossReports,
                [&](const auto &it) { return now - it.second > MaxReportAge; });
  LossReports[rank] = now;
  WatcherReports.erase(rank);
}

void WatchDuty::expectWatchers(MonoTime now, double share) {
  SubstituteAt =
      std::max(SubstituteAt, now + SubstituteDelay + substituteSpread(share));
}

Milliseconds WatchDuty::substituteSpread(double share) const {
  return toMilliseconds(Seconds(SubstituteInterval) * Position.Processes *
                        share);
}

Milliseconds WatchDuty::publishPatience() const {
  return PublishPatience +
         PublishPatienceStep * std::min(Position.Rank, NumWatchers);
}

bool WatchDuty::isStoreSilent(MonoTime now) const {
  return PeerAnsweredAt != MonoTime{} &&
         now - PeerAnsweredAt > MaxAnswerInterval;
}

bool WatchDuty::haveWatchersLostStore(MonoTime now) const {
  auto reported = [&](const auto &it) {
    return it.first < NumWatchers && now - it.second <= MaxReportAge;
  };
  return std::any_of(LossReports.begin(), LossReports.end(), reported) &&
         std::none_of(WatcherReports.begin(), WatcherReports.end(), reported);
}

StoreAbsence WatchDuty::storeAbsence(MonoTime until) const {
  if (!isStoreSilent(until))
    return StoreAbsence::None;
  if (haveWatchersLostStore(until))
    return StoreAbsence::Certain;
  bool hasLoss =
      std::any_of(LossReports.begin(), LossReports.end(),
                  [&](const auto &it) { return it.second > PeerAnsweredAt; });
  return hasLoss ? StoreAbsence::Possible : StoreAbsence::None;
}

bool WatchDuty::mustWatch(MonoTime now) const {
  return !isLarge() || Position.Rank < NumWatchers || isSubstitute(now);
}

bool WatchDuty::mustPublish(MonoTime now) const {
  if (!watchesForOthers(now))
    return false;
  if (areWatchersSilent(now))
    return true;
  auto watchersBefore = std::count_if(
      WatcherReports.begin(), WatcherReports.end(), [&](const auto &it) {
        return it.first < Position.Rank && now - it.second <= MaxReportAge;
      });
  return watchersBefore < NumPublishers;
}

double WatchDuty::firstWatchPart() const {
  if (!isLarge() || Position.Rank >= NumWatchers)
    return 1;
  return static_cast<double>(Position.Rank + 1) / NumWatchers;
}

unsigned WatchDuty::watchers() const {
  return isLarge() ? NumWatchers : Position.Processes;
}

} // namespace sardineford::fleet
