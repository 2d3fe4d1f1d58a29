#pragma once

#include "Sardineford/Common/Time.h"

#include <string_view>

namespace sardineford::gateway {

/// Times of a stream as its caller sees them, or the objectives for them. An
/// objective of 0 is never missed.
struct StreamTiming {
  /// Time from the arrival of the request to the first event.
  Milliseconds FirstEvent{0};
  /// Longest time between two events.
  Milliseconds Pause{0};
};

/// Returns which objective a complete stream has missed, for logs and metrics:
/// "first_event", "pause" or an empty string. A late first event precedes a
/// pause.
std::string_view missedObjective(const StreamTiming &timing,
                                 const StreamTiming &objective);

} // namespace sardineford::gateway
