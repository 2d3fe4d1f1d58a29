#pragma once

#include "Sardineford/Common/Time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sardineford::standins {

/// Kills a ratio of the processes, which start again soon.
struct MassDeath {
  Milliseconds At{0};
  double Ratio = 0;
};

struct RetrySimulationOptions {
  size_t Processes = 6;
  double RequestsPerSecond = 60;
  /// Ratio of the calls that servers reject, from one time to another.
  double RejectionRatio = 0.6;
  Milliseconds From{12'000};
  Milliseconds Until{30'000};
  Milliseconds Length{32'000};
  std::vector<MassDeath> Deaths;
  /// Ratio of the processes that is cut off from all others, each alone, and
  /// whether the rest falls into two halves.
  double CutOffRatio = 0;
  bool IsHalved = false;
  Milliseconds CutFrom{14'000};
  /// The list of processes cannot be read before this time.
  Milliseconds StoreBackAt{0};
  double Slack = 60;
  uint64_t Seed = 1;
};

struct RetryOutcome {
  /// Most calls beyond the first of their requests in one window, over what is
  /// allowed.
  double MostOverAllowed = 0;
  /// Ratio of the requests while servers reject that were served.
  double ServedRatio = 0;
  /// Requests that were not sent to any server.
  size_t NotSent = 0;
  /// Used and allowed further calls, mean over the windows while servers
  /// reject.
  double UsedRatio = 0;
};

/// Plays servers that reject calls, at many processes that keep a common limit
/// on further attempts with the budget, the record of attempts and the list of
/// processes of the daemon, without network or clock.
RetryOutcome simulateRetries(const RetrySimulationOptions &o);

} // namespace sardineford::standins
