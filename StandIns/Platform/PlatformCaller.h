#pragma once

#include "Sardineford/Http/Client.h"

#include <string>

namespace sardineford::standins {

/// Outcome of one request to a daemon.
enum class DaemonCallOutcome {
  /// Complete response with the expected bytes.
  Correct,
  /// Complete response with other bytes than the backend server sends.
  Incorrect,
  /// Status 408, 421, 429 or 503: the request was not executed and never will
  /// be.
  Rejected,
  /// Another error status: the request may have been executed.
  Failed,
  /// The connection was closed before the response was complete.
  Disconnected,
  /// No connection, or closed before any byte was sent.
  NotSent,
};

struct CallResult {
  std::string Id;
  std::string Route;
  DaemonCallOutcome Outcome = DaemonCallOutcome::Disconnected;
  unsigned Status = 0;
  bool HasRetryAfter = false;
  Milliseconds Elapsed{0};
};

/// Builds a request for a route of PlatformDeployment.
http::Request makeCall(const std::string &id, const std::string &route,
                       Milliseconds deadline);

/// Sends one request and compares the response byte by byte.
Awaitable<CallResult> callDaemon(http::Client &client, http::Endpoint daemon,
                                 std::string route, Milliseconds deadline);

} // namespace sardineford::standins
