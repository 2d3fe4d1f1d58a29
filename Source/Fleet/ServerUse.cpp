#include "Sardineford/Fleet/ServerUse.h"

#include "Sardineford/Fleet/Directory.h"

#include <array>

namespace sardineford::fleet {

namespace {

/// A server serves for longer than this after it has said that it leaves.
constexpr Milliseconds LastResortTime{1'000};

} // namespace

std::string_view toString(ServerUse use) {
  constexpr std::array<std::string_view, 5> Names = {
      "ready", "held_off", "last_resort", "leaving", "over_limit"};
  return Names[static_cast<size_t>(use)];
}

ServerUse judgeServer(const Server &server, bool isWithinLimit, MonoTime now) {
  if (!isWithinLimit)
    return ServerUse::OverLimit;
  if (server.Leaving) {
    bool isRecent = server.LeavingSaidAt != MonoTime{} &&
                    now - server.LeavingSaidAt < LastResortTime;
    return isRecent ? ServerUse::LastResort : ServerUse::Leaving;
  }
  return server.Health.isEjected(now) ? ServerUse::Ejected : ServerUse::Usable;
}

} // namespace sardineford::fleet
