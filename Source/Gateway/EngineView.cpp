#include "Gateway/EngineView.h"

#include "Sardineford/Common/Random.h"

#include <algorithm>

namespace sardineford::gateway {

namespace {

/// Others are told again of a part that they may think forgotten.
constexpr std::chrono::seconds RepublishInterval{3};
/// Part of an engine's memory that is left for cached parts beside what runs.
constexpr double CachedPartsRatio = 0.5;

/// Tokens of the parts, from the first on, that are cached there.
uint64_t knownCachedTokens(const fleet::Server &s, const CallerRequest &r) {
  uint64_t tokens = 0;
  for (const PromptPart &it : r.Parts) {
    if (!s.Parts.holds(it.Id))
      break;
    tokens += it.Tokens;
  }
  return tokens;
}

/// Tokens of all parts but the request's own.
uint64_t sharedTokens(const CallerRequest &r) {
  uint64_t tokens = 0;
  for (size_t i = 0; i + 1 < r.Parts.size(); ++i)
    tokens += r.Parts[i].Tokens;
  return tokens;
}

/// The server of a phase that all processes send a shared part to first.
std::optional<size_t> preferredEngine(const EngineView &v,
                                      const CallerRequest &r, bool prefill) {
  if (r.Parts.size() < 2)
    return std::nullopt;
  uint64_t part = r.Parts[r.Parts.size() - 2].Id;
  std::optional<size_t> preferred;
  uint64_t highest = 0;
  for (size_t i = 0; i < v.Servers.size(); ++i) {
    bool isPrefill = v.Candidates[i].Role == routing::EngineRole::Prefill;
    if (isPrefill != prefill || v.Candidates[i].HeldOff)
      continue;
    uint64_t score = hash64(v.Servers[i]->Entry.Id, part);
    if (preferred && score <= highest)
      continue;
    preferred = i;
    highest = score;
  }
  return preferred;
}

} // namespace

EngineView collectEngines(SharedState &s, const RequestContext &c,
                          fleet::WorkRank rank,
                          const std::vector<std::string> &excludedServers) {
  EngineView v;
  MonoTime now = MonoClock::now();
  Seconds meanStreamDuration = s.service(c.Service).MeanStreamDuration;
  for (const fleet::ServerPtr &it : s.Servers.ofService(c.Service)) {
    if (std::find(excludedServers.begin(), excludedServers.end(),
                  it->Entry.Id) != excludedServers.end())
      continue;
    routing::EngineCandidate e;
    e.Role = it->Entry.Role.value_or(routing::EngineRole::Decode);
    e.SameDomain = it->Entry.FailureDomain == s.FailureDomain;
    e.PromptTokensAhead = it->tokensAhead(rank);
    e.Requests = it->requests();
    e.Slots = it->Entry.Slots;
    if (e.Requests >= e.Slots)
      e.SlotWait = meanStreamDuration * (e.Requests - e.Slots + 1.0) / e.Slots;
    e.CachedTokens = knownCachedTokens(*it, c.Request);
    e.Slowness = it->Slowness;
    e.FailureShare = it->Faults.failureShare();
    e.HeldOff = it->Faults.isHeldOff(now);
    v.Servers.push_back(it);
    v.Candidates.push_back(e);
  }
  for (bool prefill : {false, true})
    if (std::optional<size_t> preferred =
            preferredEngine(v, c.Request, prefill))
      v.Candidates[*preferred].IsHome = true;
  for (routing::EngineCandidate &it : v.Candidates) {
    uint64_t shared = sharedTokens(c.Request);
    it.SharedTokensMissing = shared - std::min(shared, it.CachedTokens);
  }
  return v;
}

void recordCachedParts(SharedState &s, const RequestContext &c,
                       fleet::Server &server) {
  MonoTime now = MonoClock::now();
  const auto &specs = c.Routes->config().Services;
  auto spec = specs.find(c.Service);
  if (spec != specs.end() && spec->second.Engine)
    server.Parts.setCapacity(static_cast<uint64_t>(
        CachedPartsRatio * static_cast<double>(spec->second.Engine->KvTokens)));
  const std::vector<PromptPart> &parts = c.Request.Parts;
  for (size_t i = 0; i < parts.size(); ++i) {
    // The last part belongs to the request itself.
    bool isShared = i + 1 < parts.size();
    if (isShared && now - server.Parts.lastUse(parts[i].Id) > RepublishInterval)
      s.PublishCachedPart(server.Entry.Id, parts[i].Id, parts[i].Tokens);
    server.Parts.use(parts[i].Id, parts[i].Tokens, now);
  }
}

double tokensToPrefill(const routing::EngineCandidate &e,
                       const CallerRequest &r) {
  return static_cast<double>(r.PromptTokens -
                             std::min(e.CachedTokens, r.PromptTokens));
}

} // namespace sardineford::gateway
