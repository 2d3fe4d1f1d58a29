#include "Sardineford/Retry/Silence.h"

#include <algorithm>

namespace sardineford::retry {

namespace {

/// A further attempt may become possible, for example when the budget allows
/// one again.
constexpr Milliseconds RecheckInterval{100};

} // namespace

SilenceDecision decideOnSilence(const SilenceState &state) {
  bool isImpatient = state.Silence >= state.Patience;
  if (isImpatient && state.MayRetry)
    return {true, Milliseconds(0)};
  Milliseconds wait =
      isImpatient ? RecheckInterval : state.Patience - state.Silence;
  return {false, std::clamp(wait, Milliseconds(1),
                            std::max(state.RemainingTime, Milliseconds(1)))};
}

} // namespace sardineford::retry
