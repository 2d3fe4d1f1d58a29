#pragma once

#include "Sardineford/Common/Time.h"

#include <cstddef>
#include <optional>

namespace sardineford::fleet {

/// What a backend server said last of the requests a second that it takes from
/// all processes together.
struct RequestLimit {
  /// Empty once the server names no limit any more.
  std::optional<double> PerSecond;
  /// Time of the newest response with this statement.
  MonoTime SeenAt;
};

/// Takes the newer of two statements. Returns whether the limit has changed.
bool mergeLimit(RequestLimit &into, const RequestLimit &from);

/// Returns what a response says after an earlier statement. A response without
/// a limit ends the earlier one only if its request was sent after the limit
/// was last seen, since responses can overtake each other.
RequestLimit limitAfterResponse(const RequestLimit &known,
                                std::optional<double> named, MonoTime sentAt,
                                MonoTime now);

/// Part of a limit that one process may use, requests a second; 0 for none.
/// Only so many processes share a limit that each can send a request about
/// every second: if all had a request in reserve, together they would exceed a
/// low limit. `rank` is the position of the process among all for this server.
double shareOfLimit(double perSecond, size_t rank, size_t processes);

/// Requests that a process may send now, in whole numbers from 1.
struct RequestTokens {
  double Available = 0;
  MonoTime UpdatedAt;
};

/// Adds what has become available at this rate, up to a short burst.
void refillTokens(RequestTokens &tokens, double perSecond, MonoTime now);

} // namespace sardineford::fleet
