#pragma once

#include "Gateway/State.h"

namespace sardineford::gateway {

/// Decides how many connections this process may have to each server of a
/// service, and closes idle ones beyond that.
void updateConnectionLimits(SharedState &shared, const std::string &service);

/// Returns whether a request can get a connection to the server now. One that
/// may not be sent on a reused connection takes the place of an idle one.
bool hasConnectionFor(const SharedState &shared, const fleet::Server &server);

/// Records that the server has reset a connection that was just opened: it
/// accepts fewer than this process assumes. Returns false if the service does
/// not limit connections, where such a reset is a fault of the server.
bool recordResetOnNew(SharedState &shared, fleet::Server &server);

/// Updates the limits of all services from time to time, also without requests.
Awaitable<void> keepConnectionLimits(SharedState &shared);

} // namespace sardineford::gateway
