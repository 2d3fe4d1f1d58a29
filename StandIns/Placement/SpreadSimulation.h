#pragma once

#include "Sardineford/Common/Time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sardineford::standins {

struct SpreadSimulationOptions {
  size_t Processes = 195;
  Milliseconds Length{14'000};
  /// Time of the first deaths. The second ones come `SecondDeathsAfter` later.
  Milliseconds DeathsAt{6'000};
  Milliseconds SecondDeathsAfter{2'000};
  /// Share of the running processes that dies each time; the watchers of the
  /// store and their groups first.
  double DeathRatio = 0;
  /// Processes that have died start again after this time.
  Milliseconds RestartTime{2'500};
  /// Mean time between two changes in the store.
  Milliseconds ChangeInterval{150};
  /// Time at which the store comes back from a copy that lacks the changes of
  /// `LostTime`; 0 for never. Watches end, and it is away for `AwayTime`. Their
  /// writers write the lost objects again, one after the other.
  Milliseconds RestoreAt{0};
  Milliseconds LostTime{5'000};
  Milliseconds AwayTime{400};
  /// Time from which the store is away for `AwayTime` without a restore; 0 for
  /// never. Watches end, and calls fail.
  Milliseconds OutageAt{0};
  /// Processes order what they know by era and revision, or by revision alone.
  bool KnowsEras = true;
  double LossRatio = 0.01;
  uint64_t Seed = 1;
};

struct SpreadOutcome {
  /// Delays from a change in the store to each process that ran from before the
  /// change until it was told, or until the end; sorted.
  std::vector<Milliseconds> Delays;
  /// Calls to the store from the first deaths until the end, with those of
  /// processes that start.
  unsigned Reads = 0;
  unsigned Watches = 0;
  /// Processes that do not watch the store and took it to have been away,
  /// possibly or certainly, summed over all such times.
  unsigned PossibleAbsences = 0;
  unsigned CertainAbsences = 0;
  /// Processes that ran through an outage and did not notice it, by their own
  /// calls or by the reports of the watchers.
  unsigned UnawareOfOutage = 0;
  /// Datagrams with changes.
  unsigned ChangeDatagrams = 0;

  Milliseconds percentile(double share) const;
};

/// Plays how changes of the store reach the processes of a fleet, with the
/// decisions of the daemon, without network or clock.
SpreadOutcome simulateSpread(const SpreadSimulationOptions &o);

} // namespace sardineford::standins
