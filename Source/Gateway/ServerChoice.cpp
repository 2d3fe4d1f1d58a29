#include "Gateway/ServerChoice.h"

namespace sardineford::gateway {

namespace {

using fleet::ServerPtr;
using fleet::ServerUse;

/// Servers named in one line of the log.
constexpr size_t MaxNamedServers = 8;

uint32_t incarnationOf(const fleet::ServerEntry &entry) {
  return peers::hashOfIncarnation(entry.Id, entry.StartedMs);
}

void addPassedOver(AvailableServers &out, size_t &named,
                   const fleet::Server &server, ServerUse use) {
  if (++named > MaxNamedServers)
    return;
  if (!out.PassedOver.empty())
    out.PassedOver += ",";
  out.PassedOver += server.Entry.Id + ":" + std::string(toString(use));
}

} // namespace

fleet::ServerUse judgeServer(SharedState &shared, const fleet::Server &server) {
  MonoTime now = MonoClock::now();
  bool isWithinLimit =
      !shared.Findings.hasLimits() ||
      shared.Findings.maySend(incarnationOf(server.Entry), now);
  return fleet::judgeServer(server, isWithinLimit, now);
}

AvailableServers findAvailableServers(
    SharedState &shared, const std::string &service,
    const std::function<bool(const fleet::ServerEntry &)> &isAllowed) {
  AvailableServers out;
  size_t named = 0;
  for (const ServerPtr &it : shared.Servers.ofService(service)) {
    if (!isAllowed(it->Entry))
      continue;
    ServerUse use = judgeServer(shared, *it);
    if (isUsable(use)) {
      out.Servers.push_back(it);
      continue;
    }
    addPassedOver(out, named, *it, use);
  }
  if (!out.Servers.empty())
    return out;
  for (const ServerPtr &it : shared.Servers.leavingOf(service)) {
    if (!isAllowed(it->Entry))
      continue;
    ServerUse use = judgeServer(shared, *it);
    if (use == ServerUse::LastResort)
      out.Servers.push_back(it);
    else
      addPassedOver(out, named, *it, use);
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
}

void recordLimitedRequest(SharedState &shared, const fleet::Server &server) {
  if (shared.Findings.hasLimits())
    shared.Findings.recordRequest(incarnationOf(server.Entry),
                                  MonoClock::now());
}

} // namespace sardineford::gateway
