#pragma once

#include "Gateway/State.h"

namespace sardineford::gateway {

/// The engines of a service as placing sees them for one request.
struct EngineView {
  std::vector<fleet::ServerPtr> Servers;
  std::vector<routing::EngineCandidate> Candidates;
};

/// Servers that were tried without success are left out.
EngineView collectEngines(SharedState &s, const RequestContext &c,
                          fleet::WorkRank rank,
                          const std::vector<std::string> &excludedServers);

/// Remembers that the parts of a prompt are cached at a server from now on.
void recordCachedParts(SharedState &s, const RequestContext &c,
                       fleet::Server &server);

/// Prompt tokens of a request that a server must still prefill.
double tokensToPrefill(const routing::EngineCandidate &e,
                       const CallerRequest &r);

} // namespace sardineford::gateway
