#pragma once

#include "Gateway/State.h"

#include <string_view>

namespace sardineford::gateway {

enum class HealthCheckResult {
  /// The server reports that it is healthy and not leaving.
  Healthy,
  /// The server answers, but not that it is healthy.
  Answered,
  /// Nothing listens at the address, or another server does.
  Refused,
  /// The connection was closed without a response.
  Closed,
  /// No response in time, or the check could not be sent.
  Unknown,
};

std::string_view toString(HealthCheckResult r);

/// Sends one health check to a server.
Awaitable<HealthCheckResult> checkHealth(SharedState &shared,
                                         fleet::ServerEntry entry);

} // namespace sardineford::gateway
