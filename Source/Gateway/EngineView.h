#pragma once

#include "Gateway/State.h"

namespace sardineford::gateway {

/// The engines that may run a request.
struct EngineFilter {
  std::vector<std::string> ExcludedServers;
  /// Set if the stream has begun: it goes on only at this version.
  std::optional<std::string> SoftwareVersion;
};

/// The engines of a service and their placement candidates for one request, in
/// the same order.
struct EngineView {
  std::vector<fleet::ServerPtr> Servers;
  std::vector<routing::EngineCandidate> Candidates;
  /// As in AvailableServers.
  std::optional<Milliseconds> OpensIn;
  std::string PassedOver;
};

/// Engines whose load was just queried. The others are not considered,
/// because what is known of them is old.
struct ProbedEngines {
  /// Cached tokens of the request's prompt, by server. Empty if every engine is
  /// considered by what is known of it: in a small fleet, or if no answer
  /// allows a placement.
  std::map<std::string, uint64_t> CachedTokens;
};

/// Asks for the loads of a few engines, of one role or of all. Returns an empty
/// result at once in a small fleet, where all loads are known.
Awaitable<ProbedEngines> probeEngines(SharedState &shared,
                                      const RequestContext &context,
                                      const EngineFilter &filter,
                                      std::optional<routing::EngineRole> role);

/// Collects the engines for a request.
EngineView collectEngines(SharedState &shared, const RequestContext &context,
                          fleet::WorkPriority priority,
                          const EngineFilter &filter,
                          const ProbedEngines &probed);

/// Records that the parts of a prompt are cached at a server from now on, and
/// reports shared parts to the peers.
void recordCachedParts(SharedState &shared, const RequestContext &context,
                       fleet::Server &server);

/// Returns the tokens of the prompt's shared parts, which are all but the last.
uint64_t sharedTokens(const CallerRequest &request);

/// Returns the number of prompt tokens that the server must prefill.
double tokensToPrefill(const routing::EngineCandidate &candidate,
                       const CallerRequest &request);

} // namespace sardineford::gateway
