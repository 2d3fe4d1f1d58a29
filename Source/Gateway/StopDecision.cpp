#include "Gateway/StopDecision.h"

#include <algorithm>

namespace sardineford::gateway {

namespace {

/// Part of the grace time that is reserved for the exit of the process.
constexpr Milliseconds ExitReserve{400};
/// A response may take this multiple of its usual time.
constexpr int DurationFactor = 3;

} // namespace

Milliseconds stopAnswerTime(Milliseconds grace) {
  return std::max(Milliseconds(0), grace - ExitReserve - FinalAnswerTime);
}

bool stopsBeforeResponse(const StopState &state) {
  Milliseconds left = state.AnswerTime - state.StoppingFor;
  if (state.StoppingFor < BalancerNoticeTime)
    return left < std::min(state.Timeout,
                           std::max(state.TypicalDuration * DurationFactor,
                                    Milliseconds(1)));
  return left < state.Timeout;
}

} // namespace sardineford::gateway
