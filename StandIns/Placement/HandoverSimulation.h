#pragma once

#include "Sardineford/Common/Time.h"

#include <cstddef>
#include <cstdint>

namespace sardineford::standins {

struct HandoverSimulationOptions {
  size_t Processes = 6;
  size_t FailureDomains = 5;
  double StreamsPerSecond = 84;
  /// Streams begin for this time before the first wave of deaths.
  Milliseconds StreamTime{6'000};
  /// Share of all processes that dies in each of two waves.
  double DyingRatio = 0.6;
  Milliseconds WaveInterval{1'600};
  /// Processes run and are known again between half of this time and all of it.
  Milliseconds RestartTime{1'000};
  double LossRatio = 0.03;
  /// Holders give their records to processes that have started again.
  bool HandsOver = true;
  uint64_t Seed = 1;
};

struct HandoverOutcome {
  /// Streams whose process died in either wave, and those whose version the
  /// processes that are asked know after the second wave.
  unsigned Streams = 0;
  unsigned Found = 0;
  /// Streams with no copy left anywhere after the first wave.
  unsigned Lost = 0;
  /// Datagrams and bytes of a process for handovers, with the headers of IP and
  /// UDP, in all and in the busiest second of the busiest process.
  double MeanDatagrams = 0;
  double MeanBytes = 0;
  double MaxBytesPerSecond = 0;

  double foundRatio() const { return double(Found) / Streams; }
};

/// Plays two waves of deaths in a fleet whose processes all start again so soon
/// that nobody notices that they were gone, with the tables and decisions of
/// the daemon and without network or clock.
HandoverOutcome simulateHandovers(const HandoverSimulationOptions &o);

} // namespace sardineford::standins
