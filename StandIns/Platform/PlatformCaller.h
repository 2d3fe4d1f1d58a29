#pragma once

#include "Sardineford/Http/Client.h"

#include <string>

namespace sardineford::standins {

/// What came of one request.
enum class DaemonCallOutcome {
  /// A whole answer, and the right one.
  Correct,
  /// A whole answer with other bytes than the server's.
  Incorrect,
  /// 408, 421, 429 or 503: it has not run and never will.
  Rejected,
  /// Another failure: it may have run.
  Failed,
  /// The connection broke off.
  Disconnected,
  /// No connection, or closed before anything came.
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

/// A request of a route of the deployment.
http::Request makeCall(const std::string &id, const std::string &route,
                       Milliseconds deadline);

/// Sends one request and checks the answer byte by byte.
Awaitable<CallResult> callDaemon(http::Client &client, http::Endpoint front,
                                 std::string route, Milliseconds deadline);

} // namespace sardineford::standins
