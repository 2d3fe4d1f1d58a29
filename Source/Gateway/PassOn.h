#pragma once

#include "Gateway/State.h"

namespace sardineford::gateway {

/// Header of the rejection of a passed-on request that another process may
/// serve.
inline constexpr std::string_view TryOtherPeerHeader =
    "Sardineford-Try-Other-Peer";

/// Most passed-on requests that a process serves at a time, so that those of
/// its callers are not harmed.
inline constexpr size_t MaxOpenPassedOn = 64;

/// Passes the request on to a peer if this process cannot reach the backend
/// servers, and forwards the response. Returns false if the request stays at
/// this process. `isLastChance`: this process has no other attempt left.
Awaitable<bool> passOnIfCutOff(SharedState &shared, RequestContext &context,
                               bool isLastChance);

} // namespace sardineford::gateway
