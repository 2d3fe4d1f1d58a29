#include "Gateway/EngineView.h"

#include "Gateway/ServerChoice.h"

#include "Sardineford/Common/Random.h"
#include "Sardineford/Routing/EngineProbes.h"

#include <algorithm>
#include <functional>

namespace sardineford::gateway {

namespace {

/// A cached part is reported again after this time, because peers may have
/// dropped it from their records.
constexpr std::chrono::seconds RepublishInterval{3};
/// Ratio of an engine's KV cache that is available to cached parts; requests in
/// flight occupy the rest.
constexpr double CachedPartsRatio = 0.5;

/// Returns the tokens of the leading prompt parts that are recorded as cached
/// at the server.
uint64_t knownCachedTokens(const fleet::Server &server,
                           const CallerRequest &request) {
  uint64_t tokens = 0;
  for (const PromptPart &it : request.Parts) {
    if (!server.CachedParts.contains(it.Id))
      break;
    tokens += it.Tokens;
  }
  return tokens;
}

bool isAllowed(const EngineFilter &filter, const fleet::ServerEntry &entry) {
  if (filter.SoftwareVersion &&
      entry.SoftwareVersion != *filter.SoftwareVersion)
    return false;
  return std::find(filter.ExcludedServers.begin(), filter.ExcludedServers.end(),
                   entry.Id) == filter.ExcludedServers.end();
}

/// Returns the engines that may get the request. A stream that callers can take
/// up begins only at a recorded version, unless there is no other engine.
AvailableServers findEngines(SharedState &shared, const RequestContext &context,
                             const EngineFilter &filter) {
  auto isRecorded = [&](const fleet::ServerEntry &it) {
    return !context.Route->Resumable || filter.SoftwareVersion ||
           shared.Versions.mayBegin(it.Service, it.SoftwareVersion,
                                    MonoClock::now());
  };
  AvailableServers out = findAvailableServers(
      shared, context.Service, [&](const fleet::ServerEntry &it) {
        return isAllowed(filter, it) && isRecorded(it);
      });
  bool hasDecodeEngine =
      std::any_of(out.Servers.begin(), out.Servers.end(), [](const auto &it) {
        return it->Entry.Role != routing::EngineRole::Prefill;
      });
  if (hasDecodeEngine)
    return out;
  return findAvailableServers(
      shared, context.Service,
      [&](const fleet::ServerEntry &it) { return isAllowed(filter, it); });
}

/// Returns the engines in the order in which the longest shared prefix prefers
/// them, by rendezvous hashing. All processes agree on it.
std::vector<size_t> rankEngines(const EngineView &view,
                                const CallerRequest &request) {
  if (request.Parts.size() < 2)
    return {};
  uint64_t part = request.Parts[request.Parts.size() - 2].Id;
  std::vector<std::pair<uint64_t, size_t>> ranked;
  for (size_t i = 0; i < view.Servers.size(); ++i)
    if (!view.Candidates[i].Ejected)
      ranked.emplace_back(hash64(view.Servers[i]->Entry.Id, part), i);
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::vector<size_t> out;
  out.reserve(ranked.size());
  for (const auto &[score, i] : ranked)
    out.push_back(i);
  return out;
}

/// Marks the first engine of each role.
void markPreferred(EngineView &view, const std::vector<size_t> &ranked) {
  for (bool prefill : {false, true}) {
    auto it = std::find_if(ranked.begin(), ranked.end(), [&](size_t i) {
      return (view.Candidates[i].Role == routing::EngineRole::Prefill) ==
             prefill;
    });
    if (it != ranked.end())
      view.Candidates[*it].IsPreferred = true;
  }
}

std::vector<peers::PartSize> sharedPartSizes(const CallerRequest &request) {
  std::vector<peers::PartSize> out;
  for (const PromptPart &it : sharedParts(request))
    out.push_back({it.Id, it.Tokens});
  return out;
}

} // namespace

uint64_t sharedTokens(const CallerRequest &request) {
  uint64_t tokens = 0;
  for (const PromptPart &it : sharedParts(request))
    tokens += it.Tokens;
  return tokens;
}

Awaitable<ProbedEngines> probeEngines(SharedState &shared,
                                      const RequestContext &context,
                                      const EngineFilter &filter,
                                      std::optional<routing::EngineRole> role) {
  ProbedEngines out;
  if (!shared.Tracking.isActive())
    co_return out;
  EngineView view = collectEngines(shared, context,
                                   fleet::WorkPriority::Background, filter, {});
  std::vector<std::string> servers;
  for (size_t i : routing::chooseProbes(view.Candidates,
                                        rankEngines(view, context.Request),
                                        role, shared.Random))
    servers.push_back(view.Servers[i]->Entry.Id);
  std::vector<peers::TrackedAnswer> answers = co_await shared.Tracking.query(
      std::move(servers), sharedPartSizes(context.Request));
  bool hasDecodeEngine = false;
  for (const peers::TrackedAnswer &it : answers) {
    fleet::ServerPtr server = shared.Servers.find(it.Server);
    if (!server || server->Leaving)
      continue;
    server->PeerWork = it.Work;
    out.CachedTokens[it.Server] = it.CachedTokens;
    hasDecodeEngine =
        hasDecodeEngine || server->Entry.Role != routing::EngineRole::Prefill;
  }
  if (!hasDecodeEngine)
    out.CachedTokens.clear();
  co_return out;
}

EngineView collectEngines(SharedState &shared, const RequestContext &context,
                          fleet::WorkPriority priority,
                          const EngineFilter &filter,
                          const ProbedEngines &probed) {
  EngineView view;
  MonoTime now = MonoClock::now();
  Seconds meanStreamDuration =
      shared.service(context.Service).MeanStreamDuration;
  AvailableServers available = findEngines(shared, context, filter);
  view.OpensIn = available.OpensIn;
  view.PassedOver = std::move(available.PassedOver);
  for (const fleet::ServerPtr &it : available.Servers) {
    auto answer = probed.CachedTokens.find(it->Entry.Id);
    bool isProbed = answer != probed.CachedTokens.end();
    if (!probed.CachedTokens.empty() && !isProbed)
      continue;
    routing::EngineCandidate candidate;
    candidate.Role = it->Entry.Role.value_or(routing::EngineRole::Decode);
    candidate.SoftwareVersion = hash64(it->Entry.SoftwareVersion);
    candidate.SameDomain = it->Entry.FailureDomain == shared.FailureDomain;
    candidate.PromptTokensAhead = it->tokensAhead(priority);
    candidate.QueuedPromptTokens =
        it->tokensAhead(fleet::WorkPriority::Background);
    candidate.Requests = it->requests();
    candidate.Slots = it->Entry.Slots;
    if (candidate.Requests >= candidate.Slots)
      candidate.SlotWait = meanStreamDuration *
                           (candidate.Requests - candidate.Slots + 1.0) /
                           candidate.Slots;
    candidate.CachedTokens =
        isProbed ? answer->second : knownCachedTokens(*it, context.Request);
    candidate.Slowness = it->Slowness;
    candidate.FailureRatio = it->Health.failureRatio();
    candidate.Ejected = it->Health.isEjected(now);
    view.Servers.push_back(it);
    view.Candidates.push_back(candidate);
  }
  markPreferred(view, rankEngines(view, context.Request));
  for (routing::EngineCandidate &it : view.Candidates) {
    uint64_t sharedPartTokens = sharedTokens(context.Request);
    it.UncachedSharedTokens =
        sharedPartTokens - std::min(sharedPartTokens, it.CachedTokens);
  }
  return view;
}

void recordCachedParts(SharedState &shared, const RequestContext &context,
                       fleet::Server &server) {
  MonoTime now = MonoClock::now();
  const auto &services = context.Routes->config().Services;
  auto spec = services.find(context.Service);
  if (spec != services.end() && spec->second.Engine)
    server.CachedParts.setCapacity(static_cast<uint64_t>(
        CachedPartsRatio *
        static_cast<double>(spec->second.Engine->KvCacheTokens)));
  const std::vector<PromptPart> &parts = context.Request.Parts;
  for (size_t i = 0; i < parts.size(); ++i) {
    // The last part belongs to this request alone.
    bool isShared = i + 1 < parts.size();
    if (isShared &&
        now - server.CachedParts.lastUse(parts[i].Id) > RepublishInterval)
      shared.PublishCachedPart(server.Entry.Id, parts[i].Id, parts[i].Tokens);
    server.CachedParts.recordUse(parts[i].Id, parts[i].Tokens, now);
  }
}

double tokensToPrefill(const routing::EngineCandidate &candidate,
                       const CallerRequest &request) {
  return static_cast<double>(
      request.PromptTokens -
      std::min(candidate.CachedTokens, request.PromptTokens));
}

} // namespace sardineford::gateway
