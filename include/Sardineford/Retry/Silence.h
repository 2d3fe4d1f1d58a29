#pragma once

#include "Sardineford/Common/Time.h"

namespace sardineford::retry {

/// State of a request whose open attempts receive nothing.
struct SilenceState {
  /// Time without a byte at the newest attempt.
  Milliseconds Silence{0};
  /// Silence from which a further attempt is worth its cost.
  Milliseconds Patience{0};
  /// Time until the deadline of the request.
  Milliseconds RemainingTime{0};
  /// Whether a further attempt is possible now.
  bool MayRetry = false;
};

struct SilenceDecision {
  bool TryElsewhere = false;
  /// Time to wait for bytes before the next decision.
  Milliseconds Wait{0};
};

/// Decides whether a request whose backend server is silent is attempted at
/// another one. The open attempts are kept in either case: a server that pauses
/// for a second may still respond, and the further attempt may fail.
SilenceDecision decideOnSilence(const SilenceState &state);

} // namespace sardineford::retry
