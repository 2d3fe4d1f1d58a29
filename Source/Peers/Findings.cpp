#include "Peers/Findings.h"

#include "Messages/Messages.pb.h"
#include "Peers/FindingCodec.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Common/Random.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

namespace sardineford::peers {

namespace {

using log::Category;

/// A peer that differs is sent what binds at most at this interval, that of its
/// reports.
constexpr Milliseconds RepairInterval{500};
/// A suspect whose last sound answer is older may have been sound with another
/// software version.
constexpr std::chrono::seconds SoundMemory{60};
/// A suspect whose last sound answer is older needs another one.
constexpr std::chrono::seconds SoundRenewal{30};
constexpr size_t MaxSoundParts = 4'096;
/// Some process has a successful response with a sound suspect within this
/// time.
constexpr std::chrono::seconds ConfirmTime{1};
/// Time for which a process without reports keeps its share of a
/// limit: it may only be cut off from this one.
constexpr std::chrono::seconds LeftMemory{30};
/// Limits without reports for this time are dropped.
constexpr std::chrono::minutes LimitMemory{10};

/// Returns the name of a suspect in the lines of requests.
std::string nameOf(fleet::SuspectKey key) {
  return fmt::format("{:x}", key & ~fleet::RequestBit);
}

fleet::SuspectEvidence evidenceOf(fleet::SuspectKey key,
                                  fleet::CrashSighting crash, MonoTime now) {
  fleet::SuspectEvidence out;
  out.Crashes = {crash};
  out.IsRequest = fleet::isRequest(key);
  out.LastUseAt = now;
  return out;
}

} // namespace

uint32_t hashOfIncarnation(std::string_view id, int64_t startedMs) {
  return static_cast<uint32_t>(hash64(id, static_cast<uint64_t>(startedMs)));
}

Findings::Findings(metrics::Metrics &metrics, const http::Endpoint &address,
                   Send send, SendToAll sendToAll)
    : Metrics(metrics), AddressHash(hash64(http::toString(address))),
      SendTo(std::move(send)), SendAll(std::move(sendToAll)) {}

void Findings::setProcesses(const std::vector<RunningProcess> &processes,
                            MonoTime now) {
  size_t left = LeftAt.size();
  std::erase_if(LeftAt,
                [&](const auto &it) { return now - it.second > LeftMemory; });
  if (processes == Processes && left == LeftAt.size())
    return;
  std::set<uint64_t> running;
  for (const RunningProcess &it : processes)
    running.insert(hash64(http::toString(it.Address)));
  for (const RunningProcess &it : std::exchange(Processes, processes))
    LeftAt.try_emplace(hash64(http::toString(it.Address)), now);
  std::erase_if(LeftAt,
                [&](const auto &it) { return running.contains(it.first); });
  ProcessHashes.assign(running.begin(), running.end());
  for (const auto &[hash, time] : LeftAt)
    ProcessHashes.push_back(hash);
  for (const auto &[server, it] : Limits)
    StaleShares.insert(server);
}

fleet::TrialRank Findings::rankOf(const std::string &name) const {
  auto scoreOf = [&](uint64_t process) { return hash64(name, process); };
  uint64_t local = scoreOf(AddressHash);
  return static_cast<fleet::TrialRank>(
      std::count_if(ProcessHashes.begin(), ProcessHashes.end(),
                    [&](uint64_t it) { return scoreOf(it) < local; }));
}

std::optional<MonoTime> Findings::lastSound(fleet::SuspectKey key) const {
  if (fleet::isRequest(key))
    return SoundRepeats.find(key);
  auto it = SoundParts.find(key);
  return it == SoundParts.end() ? std::nullopt : std::make_optional(it->second);
}

bool Findings::wasRecentlySound(fleet::SuspectKey suspect, MonoTime at) const {
  std::optional<MonoTime> last = lastSound(suspect);
  return last && at - *last < SoundMemory;
}

void Findings::recordCrash(uint32_t server, MonoTime at,
                           std::span<const fleet::SuspectKey> suspects,
                           MonoTime now) {
  std::vector<fleet::SuspectKey> news;
  for (uint64_t it : suspects) {
    fleet::CrashSighting crash{server, at, false};
    if (!fleet::isRequest(it) && wasRecentlySound(it, at)) {
      Unconfirmed[it].push_back(crash);
      continue;
    }
    merge(it, evidenceOf(it, crash, now), "local");
    news.push_back(it);
  }
  fleet::dropOldEvidence(Suspects, now);
  updateDigest();
  sendSuspects(news, now);
}

void Findings::recordSound(std::span<const fleet::SuspectKey> suspects,
                           MonoTime begin, MonoTime now) {
  for (fleet::SuspectKey suspect : suspects) {
    if (fleet::isRequest(suspect))
      SoundRepeats.record(suspect, begin, now);
    else
      SoundParts[suspect] = std::max(SoundParts[suspect], begin);
    if (auto it = Unconfirmed.find(suspect); it != Unconfirmed.end())
      std::erase_if(it->second, [&](const fleet::CrashSighting &crash) {
        return crash.At <= begin;
      });
    auto it = Suspects.find(suspect);
    if (it == Suspects.end())
      continue;
    bool wasBlocking = fleet::isBlocking(it->second);
    if (!fleet::refuteCrashes(it->second, begin))
      continue;
    logVerdict(suspect, it->second, wasBlocking, "local");
    ToSend.insert(suspect);
    updateDigest();
  }
  if (SoundParts.size() > MaxSoundParts)
    removeOld(now);
}

bool Findings::needsSoundAnswer(std::span<const fleet::SuspectKey> suspects,
                                MonoTime now) const {
  return std::any_of(suspects.begin(), suspects.end(),
                     [&](fleet::SuspectKey suspect) {
                       auto sound = SoundParts.find(suspect);
                       bool isUnknown = sound == SoundParts.end() ||
                                        now - sound->second > SoundRenewal ||
                                        Unconfirmed.contains(suspect);
                       if (isUnknown && !fleet::isRequest(suspect))
                         return true;
                       auto known = Suspects.find(suspect);
                       return known != Suspects.end() &&
                              fleet::hasUnrefutedCrash(known->second);
                     });
}

void Findings::endTurn(MonoTime now) {
  for (auto &unconfirmed : Unconfirmed) {
    fleet::SuspectKey suspect = unconfirmed.first;
    std::erase_if(unconfirmed.second, [&](const fleet::CrashSighting &it) {
      if (now - it.At < ConfirmTime)
        return false;
      fleet::SuspectEvidence e = evidenceOf(suspect, it, now);
      e.WasSound = true;
      merge(suspect, e, "local");
      ToSend.insert(suspect);
      return true;
    });
  }
  std::erase_if(Unconfirmed, [](const auto &it) { return it.second.empty(); });
  updateDigest();
  std::set<fleet::SuspectKey> news = std::exchange(ToSend, {});
  sendSuspects(std::vector<fleet::SuspectKey>(news.begin(), news.end()), now);
  sendLimits(std::exchange(LimitsToSend, {}), now);
  removeOld(now);
}

fleet::SuspectDecision
Findings::decide(std::span<const fleet::SuspectKey> suspects, MonoTime now) {
  fleet::SuspectDecision out = fleet::decideOnSuspects(
      Suspects, suspects, now, [this](fleet::SuspectKey suspect) {
        return rankOf(std::to_string(suspect));
      });
  if (out.Blocked)
    Suspects[*out.Blocked].LastUseAt = now;
  return out;
}

void Findings::recordTrial(fleet::SuspectKey suspect, MonoTime now) {
  fleet::SuspectEvidence &e = Suspects[suspect];
  e.IsRequest = fleet::isRequest(suspect);
  ++e.Trials;
  e.TriedAt = now;
  log::event(Category::Peers, log::Level::Warning,
             e.IsRequest ? "repeated_request" : "prompt_part",
             {{e.IsRequest ? "request_key" : "part", nameOf(suspect)},
              {"outcome", "tried"},
              {"trials", e.Trials}});
  sendSuspects(std::span(&suspect, 1), now);
}

void Findings::removeOld(MonoTime now) {
  std::erase_if(SoundParts,
                [&](const auto &it) { return now - it.second > SoundMemory; });
  while (SoundParts.size() > MaxSoundParts)
    SoundParts.erase(std::min_element(
        SoundParts.begin(), SoundParts.end(),
        [](const auto &a, const auto &b) { return a.second < b.second; }));
  std::erase_if(RepairedAt, [&](const auto &it) {
    return now - it.second > RepairInterval;
  });
  size_t n = Suspects.size();
  fleet::dropOldEvidence(Suspects, now);
  size_t dropped = std::erase_if(Limits, [&](const auto &it) {
    return now - it.second.Limit.SeenAt > LimitMemory;
  });
  if (Suspects.size() != n || dropped > 0)
    updateDigest();
}

bool Findings::merge(fleet::SuspectKey suspect,
                     const fleet::SuspectEvidence &from,
                     std::string_view source) {
  fleet::SuspectEvidence &e = Suspects[suspect];
  e.IsRequest = fleet::isRequest(suspect);
  bool wasBlocking = fleet::isBlocking(e);
  fleet::mergeEvidence(e, from);
  // The others may not know of successful responses here yet.
  if (!e.Crashes.empty() && wasRecentlySound(suspect, e.Crashes.front().At)) {
    e.WasSound = true;
    fleet::refuteCrashes(e, *lastSound(suspect));
  }
  logVerdict(suspect, e, wasBlocking, source);
  fleet::SuspectEvidence known = from;
  return fleet::mergeEvidence(known, e);
}

void Findings::logVerdict(fleet::SuspectKey suspect,
                          const fleet::SuspectEvidence &e, bool wasBlocking,
                          std::string_view source) {
  bool isBlocking = fleet::isBlocking(e);
  if (isBlocking == wasBlocking)
    return;
  std::string kind = e.IsRequest ? "request" : "prompt_part";
  Metrics.count("sardineford_" + kind + "_verdicts_total",
                {{"outcome", isBlocking ? "blocked" : "cleared"}});
  log::event(Category::Peers, log::Level::Warning,
             e.IsRequest ? "repeated_request" : "prompt_part",
             {{e.IsRequest ? "request_key" : "part", nameOf(suspect)},
              {"outcome", isBlocking ? "blocked" : "cleared"},
              {"crashes", e.Crashes.size()},
              {"crash_moments", fleet::countCrashMoments(e)},
              {"was_sound", e.WasSound},
              {"source", source}});
}

void Findings::updateDigest() {
  uint32_t out = 0;
  for (const auto &[suspect, e] : Suspects)
    if (fleet::isBlocking(e))
      out ^= static_cast<uint32_t>(hash64(std::to_string(suspect)));
  for (const auto &[server, it] : Limits)
    if (it.Limit.PerSecond)
      out ^= static_cast<uint32_t>(
          hash64(fmt::format("{}/{}", server, *it.Limit.PerSecond)));
  Digest = out;
}

void Findings::sendSuspects(std::span<const fleet::SuspectKey> suspects,
                            MonoTime now) {
  messages::LoadShare datagram = makeFindings();
  for (uint64_t it : suspects)
    if (auto found = Suspects.find(it); found != Suspects.end())
      encodePart(it, found->second, now, datagram);
  if (datagram.findings().parts_size() > 0)
    SendAll(datagram);
}

void Findings::checkPeer(uint32_t digest, const http::Endpoint &peer,
                         MonoTime now) {
  if (digest == Digest || Digest == 0)
    return;
  auto [it, isFirst] = RepairedAt.try_emplace(peer, now);
  if (!isFirst && now - it->second < RepairInterval)
    return;
  it->second = now;
  Metrics.count("sardineford_findings_repaired_total", {});
  messages::LoadShare datagram = makeFindings();
  for (const auto &[suspect, e] : Suspects)
    if (fleet::isBlocking(e))
      encodePart(suspect, e, now, datagram);
  for (const auto &[server, limit] : Limits)
    if (limit.Limit.PerSecond)
      encodeLimit(server, limit, now, datagram);
  // Not to be passed on.
  datagram.mutable_findings()->set_relayed(true);
  SendTo(datagram, peer);
}

bool Findings::handle(const messages::LoadShare &in, MonoTime now) {
  if (!in.has_findings())
    return false;
  for (const auto &[suspect, e] : decodeParts(in, now)) {
    if (merge(suspect, e, "peer"))
      ToSend.insert(suspect);
    else
      ToSend.erase(suspect);
  }
  fleet::dropOldEvidence(Suspects, now);
  for (const auto &[server, limit] : decodeLimits(in, now)) {
    fleet::RequestLimit known = limit.Limit;
    if (applyLimit(server, limit, "peer", now) &&
        fleet::mergeLimit(known, Limits[server].Limit))
      LimitsToSend.insert(server);
    else
      LimitsToSend.erase(server);
  }
  updateDigest();
  return true;
}

bool Findings::applyLimit(uint32_t server, const ServerLimit &limit,
                          std::string_view source, MonoTime now) {
  auto [it, isFirst] = Limits.try_emplace(server, ServerLimit{limit.Id, {}});
  if (!fleet::mergeLimit(it->second.Limit, limit.Limit))
    return true;
  StaleShares.insert(server);
  Metrics.count("sardineford_server_limit_changes_total", {});
  log::event(Category::Peers, log::Level::Info, "server_limit",
             {{"server", limit.Id},
              {"request_limit", limit.Limit.PerSecond.value_or(-1)},
              {"age_ms", toMilliseconds(now - limit.Limit.SeenAt).count()},
              {"source", source}});
  return false;
}

void Findings::recordLimit(uint32_t server, const std::string &id,
                           std::optional<double> perSecond, MonoTime sentAt,
                           MonoTime now) {
  auto known = Limits.find(server);
  if (known == Limits.end() && !perSecond)
    return;
  fleet::RequestLimit before;
  if (known != Limits.end())
    before = known->second.Limit;
  ServerLimit after{id,
                    fleet::limitAfterResponse(before, perSecond, sentAt, now)};
  if (applyLimit(server, after, "local", now))
    return;
  updateDigest();
  // The begin of a limit is urgent, a change can wait for the end of the turn.
  if (before.PerSecond)
    LimitsToSend.insert(server);
  else
    sendLimits({server}, now);
}

void Findings::sendLimits(const std::set<uint32_t> &servers, MonoTime now) {
  messages::LoadShare datagram = makeFindings();
  for (uint32_t it : servers)
    if (auto found = Limits.find(it); found != Limits.end())
      encodeLimit(it, found->second, now, datagram);
  if (datagram.findings().limits_size() > 0)
    SendAll(datagram);
}

fleet::RequestTokens *Findings::tokensOf(uint32_t server, MonoTime now) {
  auto limit = Limits.find(server);
  if (limit == Limits.end() || !limit->second.Limit.PerSecond) {
    Shares.erase(server);
    return nullptr;
  }
  auto [it, isFirst] = Shares.try_emplace(server);
  // What was sent before the limit was known counts as well, so that the share
  // begins empty.
  if (isFirst)
    it->second.Tokens.UpdatedAt = now;
  if (isFirst || StaleShares.erase(server) > 0)
    it->second.PerSecond = fleet::shareOfLimit(
        *limit->second.Limit.PerSecond, rankOf(std::to_string(server)),
        std::max<size_t>(1, ProcessHashes.size()));
  fleet::refillTokens(it->second.Tokens, it->second.PerSecond, now);
  return &it->second.Tokens;
}

bool Findings::maySend(uint32_t server, MonoTime now) {
  fleet::RequestTokens *tokens = tokensOf(server, now);
  return !tokens || tokens->Available >= 1;
}

void Findings::recordRequest(uint32_t server, MonoTime now) {
  if (fleet::RequestTokens *tokens = tokensOf(server, now))
    tokens->Available -= 1;
}

size_t Findings::limitedServers() const {
  return static_cast<size_t>(
      std::count_if(Limits.begin(), Limits.end(), [](const auto &it) {
        return it.second.Limit.PerSecond.has_value();
      }));
}

} // namespace sardineford::peers
