#include "Gateway/CrashCheck.h"

#include "Gateway/HealthCheck.h"
#include "Sardineford/Common/Log.h"

#include <spdlog/fmt/fmt.h>

namespace sardineford::gateway {

namespace {

using log::Category;

/// A server may close single connections although it runs: two health checks
/// have to fail, at this interval.
constexpr Milliseconds CheckInterval{50};
constexpr int MaxChecks = 2;
/// Answers that break later are not due to the same crash.
constexpr std::chrono::seconds CrashMemory{5};

uint32_t incarnationOf(const fleet::Server &server) {
  return peers::hashOfIncarnation(server.Entry.Id, server.Entry.StartedMs);
}

void publishCrash(SharedState &shared, uint32_t incarnation) {
  BrokenServer &broken = shared.BrokenServers[incarnation];
  std::vector<fleet::SuspectKey> suspects(broken.Suspects.begin(),
                                          broken.Suspects.end());
  shared.Findings.recordCrash(incarnation, broken.At, suspects,
                              MonoClock::now());
}

/// Finds out whether a server has crashed, and publishes the crash if so.
/// Returns whether it runs.
Awaitable<bool> checkServer(SharedState &shared, fleet::ServerPtr server) {
  uint32_t incarnation = incarnationOf(*server);
  HealthCheckResult result = HealthCheckResult::Unknown;
  for (int i = 0; i < MaxChecks; ++i) {
    if (i > 0)
      co_await sleepFor(CheckInterval);
    result = co_await checkHealth(shared, server->Entry);
    if (result != HealthCheckResult::Closed)
      break;
  }
  BrokenServer &broken = shared.BrokenServers[incarnation];
  // A server that accepts no further connection closes that of the check, too.
  const fleet::ServerConnections &connections = server->Connections;
  bool isAtLimit =
      connections.IsLimited && connections.Accepted.hasReset(MonoClock::now());
  bool isDown = result == HealthCheckResult::Refused ||
                (result == HealthCheckResult::Closed && !isAtLimit);
  bool crashed = broken.Crashed || (isDown && !isCutOffFromServices(shared));
  log::event(Category::Gateway, log::Level::Info, "server_crash",
             {{"server", server->Entry.Id},
              {"started_ms", server->Entry.StartedMs},
              {"check", toString(result)},
              {"suspects", broken.Suspects.size()},
              {"outcome", crashed ? "crashed" : "runs"}});
  if (!crashed) {
    shared.BrokenServers.erase(incarnation);
    co_return result != HealthCheckResult::Unknown;
  }
  shared.Metrics.count("sardineford_server_crashes_total",
                       {{"service", server->Entry.Service}});
  broken.Crashed = true;
  publishCrash(shared, incarnation);
  co_return false;
}

void removeOld(SharedState &shared) {
  MonoTime now = MonoClock::now();
  std::erase_if(shared.BrokenServers, [&](const auto &it) {
    return it.second.Crashed && now - it.second.At > CrashMemory;
  });
}

Awaitable<void> judgeShortAnswer(SharedState &shared, fleet::ServerPtr server,
                                 std::vector<fleet::SuspectKey> suspects,
                                 MonoTime begin) {
  co_await sleepFor(fleet::CrashAnswerTime);
  removeOld(shared);
  uint32_t incarnation = incarnationOf(*server);
  auto broken = shared.BrokenServers.find(incarnation);
  if (broken != shared.BrokenServers.end()) {
    broken->second.Suspects.insert(suspects.begin(), suspects.end());
    if (broken->second.Crashed)
      publishCrash(shared, incarnation);
    co_return;
  }
  if (!shared.Findings.needsSoundAnswer(suspects, MonoClock::now()))
    co_return;
  shared.BrokenServers[incarnation] = {
      MonoClock::now(), {suspects.begin(), suspects.end()}, false};
  if (co_await checkServer(shared, std::move(server)))
    shared.Findings.recordSound(suspects, begin, MonoClock::now());
}

} // namespace

std::vector<fleet::SuspectKey> suspectsOf(const RequestContext &context) {
  std::vector<fleet::SuspectKey> out = requestSuspect(context);
  for (const PromptPart &it : sharedParts(context.Request))
    out.push_back(fleet::keyOfPart(it.Id));
  return out;
}

std::vector<fleet::SuspectKey> requestSuspect(const RequestContext &context) {
  return {fleet::keyOfRequest(context.RepeatsHash)};
}

void recordBrokenAnswer(SharedState &shared,
                        const std::vector<fleet::SuspectKey> &suspects,
                        const fleet::ServerPtr &server) {
  removeOld(shared);
  uint32_t incarnation = incarnationOf(*server);
  auto [it, isFirst] = shared.BrokenServers.try_emplace(incarnation);
  it->second.Suspects.insert(suspects.begin(), suspects.end());
  if (isFirst) {
    it->second.At = MonoClock::now();
    spawn(shared.Io, "check-crash", [&shared, server]() -> Awaitable<void> {
      co_await checkServer(shared, server);
    });
  } else if (it->second.Crashed) {
    publishCrash(shared, incarnation);
  }
}

void recordRefusedConnection(SharedState &shared,
                             const fleet::ServerPtr &server) {
  removeOld(shared);
  if (isCutOffFromServices(shared))
    return;
  auto [it, isFirst] = shared.BrokenServers.try_emplace(incarnationOf(*server));
  if (isFirst)
    it->second.At = MonoClock::now();
  it->second.Crashed = true;
}

void recordSoundAnswer(SharedState &shared, const RequestContext &context,
                       MonoTime begin) {
  shared.Findings.recordSound(suspectsOf(context), begin, MonoClock::now());
}

void recordShortAnswer(SharedState &shared,
                       std::vector<fleet::SuspectKey> suspects,
                       const fleet::ServerPtr &server, MonoTime begin) {
  spawn(shared.Io, "short-answer",
        [&shared, server, suspects = std::move(suspects), begin] {
          return judgeShortAnswer(shared, server, suspects, begin);
        });
}

std::string findBlock(SharedState &shared, RequestContext &context,
                      const std::vector<fleet::SuspectKey> &suspects) {
  fleet::SuspectDecision decision =
      shared.Findings.decide(suspects, MonoClock::now());
  context.TriedSuspect = decision.Tried;
  if (!decision.Blocked)
    return "";
  if (fleet::isRequest(*decision.Blocked))
    return "the request has crashed several servers";
  return fmt::format("prompt part {:x} has crashed several engines",
                     *decision.Blocked);
}

void recordTrial(SharedState &shared, const RequestContext &context) {
  if (context.TriedSuspect)
    shared.Findings.recordTrial(*context.TriedSuspect, MonoClock::now());
}

} // namespace sardineford::gateway
