#pragma once

#include "Sardineford/Http/Client.h"

#include <set>
#include <string>
#include <vector>

namespace sardineford::standins {

/// Outcome of one request to a daemon.
enum class DaemonCallOutcome {
  /// Complete response with the expected bytes.
  Correct,
  /// Complete response with other bytes than the backend server sends.
  Incorrect,
  /// Events of more than one software version.
  MixedVersions,
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
  /// Id of the request. For a stream that has begun, id of the request that
  /// brought its first event.
  std::string Id;
  std::string Route;
  DaemonCallOutcome Outcome = DaemonCallOutcome::Disconnected;
  unsigned Status = 0;
  bool HasRetryAfter = false;
  Milliseconds Elapsed{0};
  /// Software versions of the received events.
  std::set<std::string> Versions;
  /// Numbers of requests that daemons received while the caller had no event,
  /// and of requests that took up the stream after an event.
  unsigned Begins = 0;
  unsigned TakeUps = 0;
  /// Number of requests of TakeUps that brought further events or the end.
  unsigned ContinuedTakeUps = 0;
};

/// Builds a request for a route of PlatformDeployment. If the begin of a path
/// follows the route's, all requests with it are repeats of one. `sharedParts`
/// are the prompt parts before the request's own one, as in the header; empty
/// for one of a few prompts.
http::Request makeCall(const std::string &id, const std::string &route,
                       Milliseconds deadline, std::string sharedParts = "");

/// Sends a request for a stream to the first daemon. While the response is
/// rejected or broken and time remains, takes the stream up at the next daemon
/// of the list, after the time in Retry-After. Compares the events byte by
/// byte.
Awaitable<CallResult> callStream(http::Client &client,
                                 std::vector<http::Endpoint> daemons,
                                 std::string route, Milliseconds deadline,
                                 std::string sharedParts = "");

/// Sends one request and compares the response byte by byte.
Awaitable<CallResult> callDaemon(http::Client &client, http::Endpoint daemon,
                                 std::string route, Milliseconds deadline,
                                 std::string sharedParts = "");

} // namespace sardineford::standins
