#include "Sardineford/Gateway/Reach.h"

#include <algorithm>

namespace sardineford::gateway {

namespace {

/// A single server that cannot be reached is down more often than its link.
constexpr size_t SeveralServers = 2;

} // namespace

void ServiceReach::recordUnreachable(const std::string &server, MonoTime now) {
  Unreachable[server] = now;
}

void ServiceReach::recordContact(const std::string &server, MonoTime now) {
  LastContact = now;
  Unreachable.erase(server);
}

void ServiceReach::removeUnknown(
    const std::function<bool(const std::string &)> &isKnown) {
  std::erase_if(Unreachable,
                [&](const auto &it) { return !isKnown(it.first); });
}

bool ServiceReach::isCutOff() const {
  auto n =
      std::count_if(Unreachable.begin(), Unreachable.end(),
                    [&](const auto &it) { return it.second >= LastContact; });
  return static_cast<size_t>(n) >= SeveralServers;
}

bool shouldPassOn(const PassOnState &state) {
  if (state.IsPassedOn || state.WasTried || !state.NoneExecuted)
    return false;
  if (state.IsCutOff)
    return true;
  // Kept connections may live on while new ones fail.
  return state.IsLastChance && state.UnsentAttempts > 0 &&
         state.UnreachableServers >= SeveralServers;
}

} // namespace sardineford::gateway
