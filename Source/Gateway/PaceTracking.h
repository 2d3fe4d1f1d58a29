#pragma once

#include "Gateway/State.h"

namespace sardineford::gateway {

/// Begins the paces of the servers of a service that have become available
/// since the last call.
void updatePaces(SharedState &shared, const std::string &service, MonoTime now);

/// Returns whether the pace of a server allows no further request now.
bool isHeldByPace(SharedState &shared, const fleet::Server &server,
                  MonoTime now);

/// Removes the servers that are held by their pace if others are available, and
/// returns them.
std::vector<fleet::ServerPtr>
removeHeldBack(SharedState &shared, std::vector<fleet::ServerPtr> &servers);

void recordPacedRequest(SharedState &shared, fleet::Server &server);

/// Records the load in a response of the server.
void recordReportedLoad(SharedState &shared, fleet::Server &server,
                        const fleet::ServerLoad &load, MonoTime now);

/// Adapts the pace to a response or first event, after its load was recorded.
/// `expected` is the estimate for a server of the service.
void recordPaceAnswer(SharedState &shared, fleet::Server &server, Seconds took,
                      Seconds expected);
/// Adapts the pace to a rejection or failure.
void recordPaceFailure(SharedState &shared, fleet::Server &server,
                       fleet::PaceEvent event);

} // namespace sardineford::gateway
