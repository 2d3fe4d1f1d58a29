#include "Gateway/EngineView.h"

#include "Sardineford/Common/Random.h"

#include <algorithm>

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

/// Returns the tokens of the shared parts, which are all but the last.
uint64_t sharedTokens(const CallerRequest &request) {
  uint64_t tokens = 0;
  for (size_t i = 0; i + 1 < request.Parts.size(); ++i)
    tokens += request.Parts[i].Tokens;
  return tokens;
}

/// Returns the preferred engine of a phase, by rendezvous hashing of the
/// longest shared prefix. All processes choose the same one.
std::optional<size_t> preferredEngine(const EngineView &view,
                                      const CallerRequest &request,
                                      bool prefill) {
  if (request.Parts.size() < 2)
    return std::nullopt;
  uint64_t part = request.Parts[request.Parts.size() - 2].Id;
  std::optional<size_t> preferred;
  uint64_t highest = 0;
  for (size_t i = 0; i < view.Servers.size(); ++i) {
    bool isPrefill = view.Candidates[i].Role == routing::EngineRole::Prefill;
    if (isPrefill != prefill || view.Candidates[i].Ejected)
      continue;
    uint64_t score = hash64(view.Servers[i]->Entry.Id, part);
    if (preferred && score <= highest)
      continue;
    preferred = i;
    highest = score;
  }
  return preferred;
}

} // namespace

EngineView collectEngines(SharedState &shared, const RequestContext &context,
                          fleet::WorkPriority priority,
                          const std::vector<std::string> &excludedServers) {
  EngineView view;
  MonoTime now = MonoClock::now();
  Seconds meanStreamDuration =
      shared.service(context.Service).MeanStreamDuration;
  for (const fleet::ServerPtr &it : shared.Servers.ofService(context.Service)) {
    if (std::find(excludedServers.begin(), excludedServers.end(),
                  it->Entry.Id) != excludedServers.end())
      continue;
    routing::EngineCandidate candidate;
    candidate.Role = it->Entry.Role.value_or(routing::EngineRole::Decode);
    candidate.SameDomain = it->Entry.FailureDomain == shared.FailureDomain;
    candidate.PromptTokensAhead = it->tokensAhead(priority);
    candidate.Requests = it->requests();
    candidate.Slots = it->Entry.Slots;
    if (candidate.Requests >= candidate.Slots)
      candidate.SlotWait = meanStreamDuration *
                           (candidate.Requests - candidate.Slots + 1.0) /
                           candidate.Slots;
    candidate.CachedTokens = knownCachedTokens(*it, context.Request);
    candidate.Slowness = it->Slowness;
    candidate.FailureRatio = it->Health.failureRatio();
    candidate.Ejected = it->Health.isEjected(now);
    view.Servers.push_back(it);
    view.Candidates.push_back(candidate);
  }
  for (bool prefill : {false, true})
    if (std::optional<size_t> preferred =
            preferredEngine(view, context.Request, prefill))
      view.Candidates[*preferred].IsPreferred = true;
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
