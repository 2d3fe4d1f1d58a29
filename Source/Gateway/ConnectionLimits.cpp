#include "Gateway/ConnectionLimits.h"

#include "Sardineford/Common/Log.h"

namespace sardineford::gateway {

namespace {

/// Limits are decided at most this often for a server, so that a request at a
/// service with many servers costs little.
constexpr Milliseconds DecisionInterval{100};
/// Interval at which idle connections of services without requests are closed.
constexpr Milliseconds TrimInterval{1'000};

void decideFor(SharedState &shared, fleet::Server &server, size_t index,
               unsigned maxConnections, MonoTime now) {
  fleet::ServerConnections &state = server.Connections;
  state.DecidedAt = now;
  state.IsLimited = maxConnections > 0;
  fleet::ConnectionBudgetInput in;
  in.MaxConnections = maxConnections;
  in.Processes = shared.Processes;
  in.Rank = shared.Rank;
  in.ServerIndex = index;
  in.AcceptedRatio = state.Accepted.ratio(server.Reported, now);
  state.Part = fleet::decideConnections(in);
  http::ConnectionLimit limit;
  if (state.Part.Open)
    limit = {*state.Part.Open, state.Part.Idle, MaxConnectionIdle};
  shared.Client.setLimit(server.Entry.Address, limit);
}

unsigned maxConnectionsOf(const SharedState &shared,
                          const std::string &service) {
  if (!shared.Watch.routes())
    return 0;
  const auto &services = shared.Watch.routes()->config().Services;
  auto it = services.find(service);
  return it == services.end() ? 0 : it->second.MaxConnections;
}

} // namespace

void updateConnectionLimits(SharedState &shared, const std::string &service) {
  unsigned maxConnections = maxConnectionsOf(shared, service);
  MonoTime now = MonoClock::now();
  size_t index = 0;
  for (const fleet::ServerPtr &it : shared.Servers.ofService(service)) {
    const fleet::ServerConnections &state = it->Connections;
    if ((maxConnections > 0 || state.IsLimited) &&
        now - state.DecidedAt >= DecisionInterval)
      decideFor(shared, *it, index, maxConnections, now);
    ++index;
  }
}

bool hasConnectionFor(const SharedState &shared, const fleet::Server &server) {
  std::optional<size_t> maxOpen = server.Connections.Part.Open;
  if (!maxOpen)
    return true;
  http::ConnectionCounts counts =
      shared.Client.connections(server.Entry.Address);
  return fleet::decideConnectionStep(counts.Open, counts.Idle, maxOpen, true) !=
         fleet::ConnectionStep::None;
}

bool recordResetOnNew(SharedState &shared, fleet::Server &server) {
  if (!server.Connections.IsLimited)
    return false;
  MonoTime now = MonoClock::now();
  server.Connections.Accepted.recordReset(now);
  // The next request sees the lower estimate.
  server.Connections.DecidedAt = {};
  shared.Metrics.count("sardineford_connections_reset_total",
                       {{"service", server.Entry.Service}});
  http::ConnectionCounts counts =
      shared.Client.connections(server.Entry.Address);
  log::debug(log::Category::Gateway,
             "{} has reset a new connection; open {}, idle {}, estimate {}",
             server.Entry.Id, counts.Open, counts.Idle,
             server.Connections.Accepted.ratio(server.Reported, now));
  return true;
}

Awaitable<void> keepConnectionLimits(SharedState &shared) {
  for (;;) {
    co_await sleepFor(TrimInterval);
    if (!shared.Watch.routes())
      continue;
    for (const auto &[name, spec] : shared.Watch.routes()->config().Services)
      updateConnectionLimits(shared, name);
  }
}

} // namespace sardineford::gateway
