#include "Gateway/EngineView.h"

#include "Sardineford/Common/Random.h"

#include <algorithm>

namespace sardineford::gateway {

namespace {

/// Parts that are remembered for one server; more do not fit its memory.
constexpr size_t MostParts = 1'024;
/// Parts that nobody uses yield to others after some time.
constexpr std::chrono::seconds PartLife{30};

bool isFresh(const fleet::Server &s, uint64_t part, MonoTime now) {
  auto it = s.PartsUsed.find(part);
  return it != s.PartsUsed.end() && now - it->second < PartLife;
}

/// Tokens of the parts, from the first on, that were sent there.
uint64_t knownCached(const fleet::Server &s, const CallerRequest &r,
                     MonoTime now) {
  uint64_t tokens = 0;
  for (const PromptPart &it : r.Parts) {
    if (!isFresh(s, it.Id, now))
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
std::optional<size_t> homeOf(const EngineView &v, const CallerRequest &r,
                             bool prefill) {
  if (r.Parts.size() < 2)
    return std::nullopt;
  uint64_t part = r.Parts[r.Parts.size() - 2].Id;
  std::optional<size_t> home;
  uint64_t highest = 0;
  for (size_t i = 0; i < v.Servers.size(); ++i) {
    bool does = v.Candidates[i].Role == routing::EngineRole::Prefill;
    if (does != prefill || v.Candidates[i].HeldOff)
      continue;
    uint64_t score = hash64(v.Servers[i]->Entry.Id, part);
    if (home && score <= highest)
      continue;
    home = i;
    highest = score;
  }
  return home;
}

} // namespace

EngineView viewEngines(const State &s, const Call &c,
                       const std::vector<std::string> &leftOut) {
  EngineView v;
  MonoTime now = MonoClock::now();
  for (const fleet::ServerPtr &it : s.Servers.ofService(c.Service)) {
    if (std::find(leftOut.begin(), leftOut.end(), it->Entry.Id) !=
        leftOut.end())
      continue;
    routing::EngineCandidate e;
    e.Role = it->Entry.Role.value_or(routing::EngineRole::Decode);
    e.SameDomain = it->Entry.FailureDomain == s.FailureDomain;
    e.PromptTokensAhead =
        std::max(0.0, it->Own.PromptTokens) + it->Others.PromptTokens;
    e.Requests = it->Own.Requests + it->Others.Requests;
    e.Slots = it->Entry.Slots;
    e.CachedTokens = knownCached(*it, c.Request, now);
    e.Slowness = it->Slowness;
    e.FailureShare = it->Faults.failureShare();
    e.HeldOff = it->Faults.isHeldOff(now);
    v.Servers.push_back(it);
    v.Candidates.push_back(e);
  }
  for (bool prefill : {false, true})
    if (std::optional<size_t> home = homeOf(v, c.Request, prefill)) {
      uint64_t &cached = v.Candidates[*home].CachedTokens;
      cached = std::max(cached, sharedTokens(c.Request));
    }
  return v;
}

void noteParts(fleet::Server &server, const CallerRequest &r, MonoTime now) {
  for (const PromptPart &it : r.Parts)
    server.PartsUsed[it.Id] = now;
  if (server.PartsUsed.size() <= MostParts)
    return;
  std::erase_if(server.PartsUsed, [&](const auto &it) {
    return now - it.second > PartLife / 2;
  });
}

double tokensToPrefill(const routing::EngineCandidate &e,
                       const CallerRequest &r) {
  return static_cast<double>(r.PromptTokens -
                             std::min(e.CachedTokens, r.PromptTokens));
}

} // namespace sardineford::gateway
