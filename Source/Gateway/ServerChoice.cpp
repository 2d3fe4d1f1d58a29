#include "Gateway/ServerChoice.h"

#include "Gateway/ConnectionLimits.h"
#include "Gateway/PaceTracking.h"
#include "Sardineford/Common/Log.h"

#include <algorithm>

namespace sardineford::gateway {

namespace {

using fleet::ServerPtr;
using fleet::ServerUse;

/// Servers named in one line of the log.
constexpr size_t MaxNamedServers = 8;
/// Reason in the log why a usable server was passed over.
constexpr std::string_view NoConnection = "no connection";

uint32_t incarnationOf(const fleet::ServerEntry &entry) {
  return peers::hashOfIncarnation(entry.Id, entry.StartedMs);
}

void addPassedOver(AvailableServers &out, size_t &named,
                   const fleet::Server &server, std::string_view reason) {
  if (++named > MaxNamedServers)
    return;
  if (!out.PassedOver.empty())
    out.PassedOver += ",";
  out.PassedOver += server.Entry.Id + ":" + std::string(reason);
}

void recordLoad(SharedState &shared, const fleet::ServerEntry &server,
                const fleet::ServerLoad &load, MonoTime now) {
  auto &loads = shared.service(server.Service).Loads;
  loads[server.Id].add(load, now);
  // Servers come back under new ids.
  if (loads.size() > shared.Servers.size())
    std::erase_if(
        loads, [&](const auto &it) { return !shared.Servers.find(it.first); });
}

/// Sends no requests to a server until the time in its rejection has passed.
void closeServer(SharedState &shared, fleet::Server &server,
                 const ResponseHead &head) {
  MonoTime now = MonoClock::now();
  MonoTime until =
      fleet::closeAfterRejection(server.ClosedUntil, head.RetryAfter, now);
  if (until == server.ClosedUntil)
    return;
  bool wasClosed = now < server.ClosedUntil;
  server.ClosedUntil = until;
  shared.Metrics.count("sardineford_servers_closed_total",
                       {{"service", server.Entry.Service}});
  log::event(log::Category::Gateway, log::Level::Info, "server_closed",
             {{"server", server.Entry.Id},
              {"service", server.Entry.Service},
              {"retry_after_ms", head.RetryAfter->count()},
              {"closed_ms", toMilliseconds(until - now).count()},
              {"outcome", wasClosed ? "extended" : "closed"}});
}

} // namespace

fleet::ServerUse judgeServer(SharedState &shared, const fleet::Server &server) {
  MonoTime now = MonoClock::now();
  bool isWithinLimit =
      !shared.Findings.hasLimits() ||
      shared.Findings.maySend(incarnationOf(server.Entry), now);
  ServerUse use = fleet::judgeServer(server, isWithinLimit, now);
  return use == ServerUse::Usable && isHeldByPace(shared, server, now)
             ? ServerUse::Paced
             : use;
}

AvailableServers findAvailableServers(
    SharedState &shared, const std::string &service,
    const std::function<bool(const fleet::ServerEntry &)> &isAllowed) {
  AvailableServers out;
  MonoTime now = MonoClock::now();
  size_t named = 0;
  updatePaces(shared, service, now);
  updateConnectionLimits(shared, service);
  for (const ServerPtr &it : shared.Servers.ofService(service)) {
    if (!isAllowed(it->Entry))
      continue;
    ServerUse use = judgeServer(shared, *it);
    if (isUsable(use)) {
      if (hasConnectionFor(shared, *it)) {
        out.Servers.push_back(it);
        continue;
      }
      out.LacksConnection = true;
      addPassedOver(out, named, *it, NoConnection);
      continue;
    }
    addPassedOver(out, named, *it, toString(use));
    if (use == ServerUse::Closed) {
      Milliseconds opensIn = toMilliseconds(it->ClosedUntil - now);
      out.OpensIn = std::min(out.OpensIn.value_or(opensIn), opensIn);
    }
  }
  for (const ServerPtr &it : removeHeldBack(shared, out.Servers))
    addPassedOver(out, named, *it, toString(ServerUse::Paced));
  if (!out.Servers.empty() || out.LacksConnection) {
    out.OpensIn.reset();
    return out;
  }
  for (const ServerPtr &it : shared.Servers.leavingOf(service)) {
    if (!isAllowed(it->Entry))
      continue;
    ServerUse use = judgeServer(shared, *it);
    if (use == ServerUse::LastResort)
      out.Servers.push_back(it);
    else
      addPassedOver(out, named, *it, toString(use));
  }
  return out;
}

void recordServerNotices(SharedState &shared, const fleet::ServerEntry &server,
                         const ResponseHead &head, MonoTime sentAt) {
  bool isOtherServer = head.RespondingServer
                           ? *head.RespondingServer != server.Id
                           : head.Misdirected;
  if (isOtherServer)
    return;
  MonoTime now = MonoClock::now();
  shared.Findings.recordLimit(incarnationOf(server), server.Id,
                              head.RequestLimit, sentAt, now);
  if (head.Leaving)
    shared.Servers.markLeaving(server.Id, server.StartedMs,
                               "said that it leaves", now);
  ServerPtr known = shared.Servers.find(server.Id);
  if (!known || known->Entry.StartedMs != server.StartedMs)
    return;
  if (head.Load) {
    recordReportedLoad(shared, *known, *head.Load, now);
    recordLoad(shared, server, *head.Load, now);
  }
  closeServer(shared, *known, head);
}

bool isClosed(SharedState &shared, const fleet::ServerEntry &server) {
  ServerPtr known = shared.Servers.find(server.Id);
  return known && known->Entry.StartedMs == server.StartedMs &&
         MonoClock::now() < known->ClosedUntil;
}

bool isClosed(SharedState &shared, const http::Endpoint &address) {
  bool out = false;
  MonoTime now = MonoClock::now();
  shared.Servers.forEach([&](const fleet::Server &it) {
    out = out || (it.Entry.Address == address && now < it.ClosedUntil);
  });
  return out;
}

void recordSentRequest(SharedState &shared, fleet::Server &server) {
  recordPacedRequest(shared, server);
  if (shared.Findings.hasLimits())
    shared.Findings.recordRequest(incarnationOf(server.Entry),
                                  MonoClock::now());
}

} // namespace sardineford::gateway
