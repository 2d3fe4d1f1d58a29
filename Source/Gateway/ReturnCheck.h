#pragma once

#include "Gateway/State.h"

namespace sardineford::gateway {

/// Asks a server whose entry went missing and is back whether it is sound,
/// until it says so or its entry goes. A sound one is taken up again.
Awaitable<void> checkReturnedServer(SharedState &s, fleet::ServerEntry entry);

} // namespace sardineford::gateway
