#pragma once

#include "Sardineford/Common/Time.h"

#include <cstddef>
#include <cstdint>

namespace sardineford::standins {

struct LimitSimulationOptions {
  size_t Processes = 6;
  double RequestsPerSecond = 60;
  size_t Servers = 6;
  /// Limit that the first server names from one time to another.
  double Limit = 2.2;
  Milliseconds From{5'000};
  Milliseconds Until{25'000};
  Milliseconds Length{35'000};
  /// The limit from the middle of this time.
  double LaterLimit = 2.2;
  /// Share of the processes that is cut off from the others for some seconds,
  /// and of those that restart.
  double CutOffRatio = 0;
  double RestartRatio = 0;
  Milliseconds StabilityWindow{3'000};
  uint64_t Seed = 1;
};

struct LimitOutcome {
  /// Most arrivals in four seconds from a stability window after the limit or
  /// its change, from processes that were not disturbed, over what is allowed.
  double MostOverAllowed = 0;
  /// Arrivals a second while limited and from a stability window after the end.
  double LimitedPerSecond = 0;
  double LaterPerSecond = 0;
  /// Bytes of findings that a process sent, mean, with the headers of IP and
  /// UDP.
  double MeanBytesPerSecond = 0;
};

/// Plays a server that names a limit for a while, at many processes that decide
/// with the findings of the daemon, without network or clock.
LimitOutcome simulateLimit(const LimitSimulationOptions &o);

} // namespace sardineford::standins
