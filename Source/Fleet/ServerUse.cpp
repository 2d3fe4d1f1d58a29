#include "Sardineford/Fleet/ServerUse.h"

#include "Sardineford/Fleet/Directory.h"

#include <algorithm>
#include <array>

namespace sardineford::fleet {

namespace {

/// A server serves for longer than this after it has said that it leaves.
constexpr Milliseconds LastResortTime{1'000};
/// Bounds absurd times. The server can ask again with its next rejection.
constexpr std::chrono::hours MaxClosedTime{1};

} // namespace

std::string_view toString(ServerUse use) {
  constexpr std::array<std::string_view, 7> Names = {
      "ready",   "held_off", "paced",     "last_resort",
      "leaving", "closed",   "over_limit"};
  return Names[static_cast<size_t>(use)];
}

ServerUse judgeServer(const Server &server, bool isWithinLimit, MonoTime now) {
  if (now < server.ClosedUntil)
    return ServerUse::Closed;
  if (!isWithinLimit)
    return ServerUse::OverLimit;
  if (server.Leaving) {
    bool isRecent = server.LeavingSaidAt != MonoTime{} &&
                    now - server.LeavingSaidAt < LastResortTime;
    return isRecent ? ServerUse::LastResort : ServerUse::Leaving;
  }
  return server.Health.isEjected(now) ? ServerUse::Ejected : ServerUse::Usable;
}

MonoTime closeAfterRejection(MonoTime closedUntil,
                             std::optional<Milliseconds> retryAfter,
                             MonoTime now) {
  if (!retryAfter)
    return closedUntil;
  return std::max(closedUntil,
                  now + std::min<Milliseconds>(*retryAfter, MaxClosedTime));
}

} // namespace sardineford::fleet
