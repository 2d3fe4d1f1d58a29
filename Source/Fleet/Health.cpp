#include "Sardineford/Fleet/Health.h"

#include <algorithm>

namespace sardineford::fleet {

namespace {

/// Weight of the newest attempt in the exponential moving average of failures,
/// which covers about the last ten attempts.
constexpr double NewestAttemptWeight = 0.15;
/// First ejection of an unreachable server. Attempts in flight show within this
/// time whether the server is back, and a restart takes much longer.
constexpr Milliseconds InitialEjectionTime{400};
constexpr Milliseconds MaxEjectionTime{3'000};
/// A single broken response does not prove that a server is down; two in a row
/// do.
constexpr int FailuresToEject = 2;

} // namespace

void PassiveHealth::recordSuccess(MonoTime /*now*/) {
  FailureRatio *= 1 - NewestAttemptWeight;
  ConsecutiveFailures = 0;
  EjectedUntil = {};
}

void PassiveHealth::recordFailure(FailureKind kind, MonoTime now) {
  FailureRatio = FailureRatio * (1 - NewestAttemptWeight) + NewestAttemptWeight;
  if (kind == FailureKind::ServerError || kind == FailureKind::Rejected)
    return;
  ++ConsecutiveFailures;
  bool isConclusive = kind == FailureKind::Unreachable ||
                      ConsecutiveFailures >= FailuresToEject;
  if (!isConclusive)
    return;
  int doublings = std::min(ConsecutiveFailures - 1, 3);
  EjectedUntil =
      now + std::min(MaxEjectionTime, InitialEjectionTime * (1 << doublings));
}

} // namespace sardineford::fleet
