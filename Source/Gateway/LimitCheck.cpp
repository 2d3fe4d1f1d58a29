#include "Gateway/LimitCheck.h"

namespace sardineford::gateway {

namespace {

uint32_t incarnationOf(const fleet::ServerEntry &entry) {
  return peers::hashOfIncarnation(entry.Id, entry.StartedMs);
}

} // namespace

void recordResponseLimit(SharedState &shared, const fleet::ServerEntry &server,
                         const ResponseHead &head, MonoTime sentAt) {
  bool isOtherServer =
      head.RespondingServer && *head.RespondingServer != server.Id;
  if (!isOtherServer)
    shared.Findings.recordLimit(incarnationOf(server), server.Id,
                                head.RequestLimit, sentAt, MonoClock::now());
}

bool isWithinLimit(SharedState &shared, const fleet::Server &server) {
  return !shared.Findings.hasLimits() ||
         shared.Findings.maySend(incarnationOf(server.Entry), MonoClock::now());
}

void recordLimitedRequest(SharedState &shared, const fleet::Server &server) {
  if (shared.Findings.hasLimits())
    shared.Findings.recordRequest(incarnationOf(server.Entry),
                                  MonoClock::now());
}

} // namespace sardineford::gateway
