#pragma once

#include "Sardineford/Common/Time.h"

#include <functional>
#include <map>
#include <string>

namespace sardineford::gateway {

/// What this process has seen of its links to the backend servers of a service.
/// A server counts as unreachable from a failed connect or a silence that is
/// longer than expected until it sends something.
class ServiceReach {
public:
  void recordUnreachable(const std::string &server, MonoTime now);
  void recordContact(const std::string &server, MonoTime now);
  /// Forgets the servers that are not known any more.
  void removeUnknown(const std::function<bool(const std::string &)> &isKnown);

  size_t unreachableServers() const { return Unreachable.size(); }
  /// Returns whether several servers are unreachable and none has sent anything
  /// since: the process may be cut off from all of them, or all are down.
  bool isCutOff() const;

  /// The servers are probed until one responds.
  bool IsProbed = false;

private:
  /// Time of the last failure of each server that has sent nothing since.
  std::map<std::string, MonoTime> Unreachable;
  MonoTime LastContact{};
};

/// State that decides whether a request is passed on to a peer.
struct PassOnState {
  /// A peer has passed the request on to this process.
  bool IsPassedOn = false;
  /// It has been passed on before, and no peer could serve it.
  bool WasTried = false;
  /// No backend server has executed the request or can still execute it.
  bool NoneExecuted = true;
  /// See ServiceReach.
  bool IsCutOff = false;
  size_t UnreachableServers = 0;
  /// Attempts of the request that could not be sent.
  size_t UnsentAttempts = 0;
  /// This process can attempt the request at no other server.
  bool IsLastChance = false;
};

/// Decides whether a peer that may reach the servers gets the request instead.
/// A hop that is lost leaves the outcome unknown, so only requests that no
/// server can have executed are passed on, and only once.
bool shouldPassOn(const PassOnState &state);

} // namespace sardineford::gateway
