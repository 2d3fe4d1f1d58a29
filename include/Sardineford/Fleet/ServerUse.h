#pragma once

#include "Sardineford/Common/Time.h"

#include <optional>
#include <string_view>

namespace sardineford::fleet {

struct Server;

/// Whether a backend server may get a new request, and why not. The order is
/// that of the reasons if several apply.
enum class ServerUse {
  Usable,
  /// Has failed requests; used only if no other server is available.
  Ejected,
  /// Has just become available and its pace allows no further request of this
  /// process now; used only if no other server is available.
  Paced,
  /// Has just said that it leaves; used only if no other server is available.
  LastResort,
  Leaving,
  /// Has rejected a request and named a time until it accepts the next one.
  Closed,
  /// This process has used its share of the limit that the server names.
  OverLimit,
};

std::string_view toString(ServerUse use);

/// Decides on one server, under planned and unplanned departures of servers and
/// under loads that a server cannot bear.
ServerUse judgeServer(const Server &server, bool isWithinLimit, MonoTime now);

constexpr bool isUsable(ServerUse use) {
  return use == ServerUse::Usable || use == ServerUse::Ejected ||
         use == ServerUse::Paced;
}

/// Returns until when a server gets no requests after a rejection. A later
/// rejection can only extend the time. Without a time, nothing changes.
MonoTime closeAfterRejection(MonoTime closedUntil,
                             std::optional<Milliseconds> retryAfter,
                             MonoTime now);

} // namespace sardineford::fleet
