#pragma once

#include "Gateway/State.h"

namespace sardineford::gateway {

/// Checks the health of a server whose entry was missing and has returned.
/// Repeats the check until the server is healthy or its entry is removed, and
/// readmits a healthy server.
Awaitable<void> checkReturnedServer(SharedState &shared,
                                    fleet::ServerEntry entry);

} // namespace sardineford::gateway
