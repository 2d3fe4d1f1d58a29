#include "Sardineford/Fleet/Health.h"

#include <algorithm>

namespace sardineford::fleet {

namespace {

/// Weight of the newest attempt in the share of failures: about the last ten
/// attempts count.
constexpr double NewestWeight = 0.15;
/// First time that an unreachable server is left out: long enough for what is
/// in flight to show whether it is back, short against a restart.
constexpr Milliseconds FirstHoldOff{400};
constexpr Milliseconds LongestHoldOff{3'000};
/// One broken answer is no proof of a dead server; two in a row are.
constexpr int FaultsToHoldOff = 2;

} // namespace

void PassiveHealth::recordSuccess(MonoTime /*now*/) {
  Share *= 1 - NewestWeight;
  Successive = 0;
  HeldOffUntil = {};
}

void PassiveHealth::recordFailure(FailureKind kind, MonoTime now) {
  Share = Share * (1 - NewestWeight) + NewestWeight;
  if (kind == FailureKind::ServerError || kind == FailureKind::Rejected)
    return;
  ++Successive;
  bool sure = kind == FailureKind::Unreachable || Successive >= FaultsToHoldOff;
  if (!sure)
    return;
  int doublings = std::min(Successive - 1, 3);
  HeldOffUntil =
      now + std::min(LongestHoldOff, FirstHoldOff * (1 << doublings));
}

} // namespace sardineford::fleet
