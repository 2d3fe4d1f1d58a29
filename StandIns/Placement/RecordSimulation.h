#pragma once

#include "Sardineford/Common/Time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sardineford::standins {

struct RecordSimulationOptions {
  size_t Processes = 6;
  /// Time within which the processes find the entry of the new version.
  Milliseconds SpreadTime{400};
  double LossRatio = 0.01;
  /// The first processes of the order have died, and the others do not know
  /// yet.
  unsigned DeadFirst = 0;
  /// Share of the processes that cannot reach the store, the first one with
  /// them.
  double CutRatio = 0;
  /// All processes start at once, and none knows the others for this time.
  Milliseconds StartTime{0};
  uint64_t Seed = 1;
};

struct RecordOutcome {
  /// Calls of all processes to the store.
  unsigned Reads = 0;
  unsigned Writes = 0;
  /// Datagrams that each process sends at the most, those it passes on too.
  size_t MostDatagrams = 0;
  /// Time from the first entry until the version is recorded.
  Milliseconds RecordedAfter{-1};
  /// Time for which each process gave the new version no streams, sorted.
  std::vector<Milliseconds> HeldBack;
  /// Processes that gave it streams while it was not recorded.
  unsigned Unrecorded = 0;
};

/// Plays the appearance of a version of a service in a fleet, with the order
/// and delays of the daemon and without network or clock.
RecordOutcome simulateRecord(const RecordSimulationOptions &o);

} // namespace sardineford::standins
