#pragma once

#include "Gateway/State.h"

namespace sardineford::gateway {

/// Records what a response says of its server's limit. `sentAt` is when the
/// request was sent.
void recordResponseLimit(SharedState &shared, const fleet::ServerEntry &server,
                         const ResponseHead &head, MonoTime sentAt);

/// Returns whether the limit that a server names allows this process a request
/// now.
bool isWithinLimit(SharedState &shared, const fleet::Server &server);

/// Counts a request to a server against its limit.
void recordLimitedRequest(SharedState &shared, const fleet::Server &server);

} // namespace sardineford::gateway
