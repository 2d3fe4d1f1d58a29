#pragma once

#include "Gateway/State.h"

namespace sardineford::gateway {

/// The engines of a service and their placement candidates for one request, in
/// the same order.
struct EngineView {
  std::vector<fleet::ServerPtr> Servers;
  std::vector<routing::EngineCandidate> Candidates;
};

/// Collects the engines for a request, without the excluded servers.
EngineView collectEngines(SharedState &shared, const RequestContext &context,
                          fleet::WorkPriority priority,
                          const std::vector<std::string> &excludedServers);

/// Records that the parts of a prompt are cached at a server from now on, and
/// reports shared parts to the peers.
void recordCachedParts(SharedState &shared, const RequestContext &context,
                       fleet::Server &server);

/// Returns the number of prompt tokens that the server must prefill.
double tokensToPrefill(const routing::EngineCandidate &candidate,
                       const CallerRequest &request);

} // namespace sardineford::gateway
