#pragma once

#include "Gateway/State.h"

#include <functional>

namespace sardineford::gateway {

/// Servers of a service that may get a request now.
struct AvailableServers {
  std::vector<fleet::ServerPtr> Servers;
  /// If there are none: time until the first closed server opens.
  std::optional<Milliseconds> OpensIn;
  /// A server was passed over only since this process has its part of the
  /// server's connections in use.
  bool LacksConnection = false;
  /// Servers that were passed over and why, for the log.
  std::string PassedOver;
};

/// Returns the servers of a service that `isAllowed` allows and that may get a
/// request now. Servers that have just said that they leave are among them only
/// if there are no others.
AvailableServers findAvailableServers(
    SharedState &shared, const std::string &service,
    const std::function<bool(const fleet::ServerEntry &)> &isAllowed);

/// Decides whether a server may get a request now.
fleet::ServerUse judgeServer(SharedState &shared, const fleet::Server &server);

/// Records what a response says of its server: its limit, that it leaves, or
/// that it wants no requests for some time. `sentAt` is when the request was
/// sent.
void recordServerNotices(SharedState &shared, const fleet::ServerEntry &server,
                         const ResponseHead &head, MonoTime sentAt);

/// Returns whether a server is closed to this process (ServerUse::Closed).
bool isClosed(SharedState &shared, const fleet::ServerEntry &server);
bool isClosed(SharedState &shared, const http::Endpoint &address);

/// Counts a request to a server against its limit and its pace.
void recordSentRequest(SharedState &shared, fleet::Server &server);

} // namespace sardineford::gateway
