#pragma once

#include "Gateway/State.h"
#include "Peers/LoadExchange.h"

namespace sardineford::gateway {

/// Registers gauges of the configuration, the servers, the requests in flight
/// and the retry budgets.
void registerStateGauges(SharedState &shared, const peers::LoadExchange &peers);

/// Measures the lag of the event loop until the process exits: the delay
/// between the due time of a timer and its handler.
Awaitable<void> measureEventLoopLag(metrics::Metrics &metrics);

} // namespace sardineford::gateway
