#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Fleet/ServerLoad.h"

#include <optional>
#include <string_view>
#include <vector>

namespace sardineford::fleet {

/// Time after it became available for which a server counts as new.
inline constexpr std::chrono::seconds NewServerTime{10};

/// What the pace of a server depends on besides its responses.
struct PaceTerms {
  /// Requests that the server runs at once.
  unsigned Slots = 1;
  /// Processes that may exist; each of them may send.
  unsigned Processes = 1;
  /// Usual time for which a request occupies a slot of the service.
  Seconds RequestTime{0.1};
};

/// How many requests one process may have in flight at a server that has just
/// become available. See docs/design/server-pace.md.
struct ServerPace {
  MonoTime StartedAt{};
  /// Requests in flight of this process. Below 1, one request at a time with a
  /// rest in between, so that all processes together reach the total.
  double Share = 0;
  /// Earliest next request while the share is below 1.
  MonoTime NextAt{};
  /// The share is reduced only once in the time of a request, because all
  /// requests in flight show the same overload.
  MonoTime ReducedAt{};
  /// Exponential moving average of the time to a response as a ratio of the
  /// expected time; 0 before the first response.
  double Slowness = 0;
  /// Responses as fast as those of other servers.
  unsigned GoodResponses = 0;
  /// Slow responses in a row that did not become slower.
  unsigned SteadyResponses = 0;
};

enum class PaceEvent {
  Answered,
  /// Rejected as not executed.
  Rejected,
  /// Unreachable, broken, timed out or failed.
  Failed,
};

/// Result of one request.
struct PaceResult {
  PaceEvent Event = PaceEvent::Answered;
  /// Time to the response or the first event, and what was expected of a server
  /// of the service.
  Seconds Took{0};
  Seconds Expected{0};
  std::optional<ServerLoad> Load;
  /// Mean time ratio of the other servers of the service.
  double OthersTimeRatio = 1;
};

enum class PaceChange { Held, Raised, Reduced, Full };

std::string_view toString(PaceChange change);

/// Begins with half of the requests that the server runs at once, over all
/// processes. `draw` is uniform in 0 to 1 and spreads the first requests of the
/// processes.
ServerPace startPace(const PaceTerms &terms, double draw, MonoTime now);

/// Returns whether the server may have one more request of this process.
/// `inFlight`: requests of this process there; `known`: those of all processes,
/// as far as they have been reported.
bool maySend(const ServerPace &pace, const PaceTerms &terms, unsigned inFlight,
             unsigned known, MonoTime now);

/// Records that a request is sent.
void recordPacedRequest(ServerPace &pace, const PaceTerms &terms, MonoTime now);

/// Adapts the pace to a result. After `Full` the pace no longer applies.
PaceChange recordPaceResult(ServerPace &pace, const PaceTerms &terms,
                            const PaceResult &result, MonoTime now);

/// A server that could get a request, apart from its pace.
struct PaceCandidate {
  /// Its pace allows no further request now.
  bool IsHeld = false;
  bool IsEjected = false;
  /// Runs only prefills, so that it cannot stand in for other servers.
  bool IsPrefill = false;
};

/// Returns which of the servers do not get the request: those that are held,
/// if another server of their kind is neither held nor ejected.
std::vector<bool> findHeldBack(const std::vector<PaceCandidate> &servers);

} // namespace sardineford::fleet
