#pragma once

#include "Gateway/State.h"
#include "Peers/LoadExchange.h"

namespace sardineford::gateway {

/// Serves what the process knows and has in flight among its metrics.
void registerStateGauges(SharedState &s, const peers::LoadExchange &peers);

/// Measures how late the event loop comes to what is due, for as long as the
/// process runs.
Awaitable<void> measureEventLoopLag(metrics::Metrics &metrics);

} // namespace sardineford::gateway
