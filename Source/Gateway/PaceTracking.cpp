#include "Gateway/PaceTracking.h"

#include "Sardineford/Common/Log.h"

#include <algorithm>

namespace sardineford::gateway {

namespace {

using fleet::PaceChange;
using fleet::Server;
using fleet::ServerPtr;

fleet::PaceTerms termsOf(SharedState &shared, const Server &server) {
  const ServiceState &service = shared.service(server.Entry.Service);
  return {server.Entry.Slots, std::max(1U, shared.Processes),
          server.Entry.Role ? service.MeanStreamDuration
                            : service.MeanResponseTime};
}

/// Returns the mean time ratio of the other servers of the service that have
/// reached their full pace; 1 if none has reported it.
double othersTimeRatio(const SharedState &shared, const Server &server) {
  double sum = 0;
  unsigned count = 0;
  for (const ServerPtr &it : shared.Servers.ofService(server.Entry.Service)) {
    if (it.get() == &server || it->Pace || !it->Reported ||
        !it->Reported->Load.TimeRatio)
      continue;
    sum += *it->Reported->Load.TimeRatio;
    ++count;
  }
  return count == 0 ? 1 : sum / count;
}

void countChange(SharedState &shared, const Server &server,
                 std::string_view change) {
  shared.Metrics.count(
      "sardineford_server_pace_changes_total",
      {{"service", server.Entry.Service}, {"change", std::string(change)}});
}

void recordResult(SharedState &shared, Server &server,
                  const fleet::PaceResult &result) {
  MonoTime now = MonoClock::now();
  PaceChange change = fleet::recordPaceResult(
      *server.Pace, termsOf(shared, server), result, now);
  if (change != PaceChange::Held)
    countChange(shared, server, toString(change));
  if (change != PaceChange::Full)
    return;
  log::event(log::Category::Gateway, log::Level::Info, "server_pace",
             {{"server", server.Entry.Id},
              {"service", server.Entry.Service},
              {"took_ms", toMilliseconds(now - server.Pace->StartedAt).count()},
              {"slowness", server.Pace->Slowness},
              {"outcome", toString(change)}});
  server.Pace.reset();
}

} // namespace

void updatePaces(SharedState &shared, const std::string &service,
                 MonoTime now) {
  if (!shared.PacesServers)
    return;
  for (const ServerPtr &it : shared.Servers.ofService(service)) {
    MonoTime since = it->AvailableSince;
    for (MonoTime end : {it->ClosedUntil, it->Health.ejectedUntil()})
      if (end <= now)
        since = std::max(since, end);
    if (since <= it->PacedSince)
      continue;
    it->PacedSince = since;
    if (now - since >= fleet::NewServerTime)
      continue;
    std::uniform_real_distribution<double> draw(0, 1);
    it->Pace = fleet::startPace(termsOf(shared, *it), draw(shared.Random), now);
    countChange(shared, *it, "started");
  }
}

bool isHeldByPace(SharedState &shared, const Server &server, MonoTime now) {
  if (!server.Pace || !shared.service(server.Entry.Service).ReportsTimeRatio)
    return false;
  return !fleet::maySend(*server.Pace, termsOf(shared, server),
                         server.LocalWork.Requests, server.requests(), now);
}

std::vector<ServerPtr> removeHeldBack(SharedState &shared,
                                      std::vector<ServerPtr> &servers) {
  std::vector<ServerPtr> out;
  if (!shared.PacesServers)
    return out;
  MonoTime now = MonoClock::now();
  std::vector<fleet::PaceCandidate> candidates;
  candidates.reserve(servers.size());
  for (const ServerPtr &it : servers)
    candidates.push_back({isHeldByPace(shared, *it, now),
                          it->Health.isEjected(now),
                          it->Entry.Role == routing::EngineRole::Prefill});
  std::vector<bool> heldBack = fleet::findHeldBack(candidates);
  std::vector<ServerPtr> kept;
  for (size_t i = 0; i < servers.size(); ++i)
    (heldBack[i] ? out : kept).push_back(servers[i]);
  servers = std::move(kept);
  return out;
}

void recordPacedRequest(SharedState &shared, Server &server) {
  if (server.Pace)
    fleet::recordPacedRequest(*server.Pace, termsOf(shared, server),
                              MonoClock::now());
}

void recordReportedLoad(SharedState &shared, Server &server,
                        const fleet::ServerLoad &load, MonoTime now) {
  server.Reported = fleet::ReportedLoad{load, now};
  if (load.TimeRatio)
    shared.service(server.Entry.Service).ReportsTimeRatio = true;
}

void recordPaceAnswer(SharedState &shared, Server &server, Seconds took,
                      Seconds expected) {
  if (!server.Pace)
    return;
  if (!server.Reported || !server.Reported->Load.TimeRatio) {
    server.Pace.reset();
    return;
  }
  fleet::PaceResult result;
  result.Took = took;
  result.Expected = expected;
  result.Load = server.Reported->Load;
  result.OthersTimeRatio = othersTimeRatio(shared, server);
  recordResult(shared, server, result);
}

void recordPaceFailure(SharedState &shared, Server &server,
                       fleet::PaceEvent event) {
  if (!server.Pace)
    return;
  fleet::PaceResult result;
  result.Event = event;
  recordResult(shared, server, result);
}

} // namespace sardineford::gateway
