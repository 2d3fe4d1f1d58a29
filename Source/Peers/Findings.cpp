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
/// A part whose last sound answer is older may have been sound with another
/// software version.
constexpr std::chrono::seconds SoundMemory{60};
/// A part whose last sound answer is older needs another one.
constexpr std::chrono::seconds SoundRenewal{30};
constexpr size_t MaxSoundParts = 4'096;
/// Answers with a sound part go on well somewhere within this time.
constexpr std::chrono::seconds ConfirmTime{1};
/// Time for which a process that is no longer heard of keeps its share of a
/// limit: it may only be cut off from this one.
constexpr std::chrono::seconds LeftMemory{30};
/// Limits that nothing was heard of for this time are dropped.
constexpr std::chrono::minutes LimitMemory{10};

/// Returns the name of a suspect in the lines of requests.
std::string nameOf(fleet::SuspectKey key) {
  return fmt::format("{:x}", key & ~fleet::RequestBit);
}

fleet::PartEvidence evidenceOf(fleet::SuspectKey key,
                               fleet::CrashSighting crash, MonoTime now) {
  fleet::PartEvidence out;
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

bool Findings::wasRecentlySound(uint64_t part, MonoTime at) const {
  std::optional<MonoTime> last = lastSound(part);
  return last && at - *last < SoundMemory;
}

void Findings::recordCrash(uint32_t server, MonoTime at,
                           std::span<const uint64_t> parts, MonoTime now) {
  std::vector<uint64_t> news;
  for (uint64_t it : parts) {
    fleet::CrashSighting crash{server, at, false};
    if (!fleet::isRequest(it) && wasRecentlySound(it, at)) {
      Unconfirmed[it].push_back(crash);
      continue;
    }
    merge(it, evidenceOf(it, crash, now), "local");
    news.push_back(it);
  }
  fleet::dropOldEvidence(Parts, now);
  updateDigest();
  sendParts(news, now);
}

void Findings::recordSound(std::span<const uint64_t> parts, MonoTime begin,
                           MonoTime now) {
  for (uint64_t part : parts) {
    if (fleet::isRequest(part))
      SoundRepeats.record(part, begin, now);
    else
      SoundParts[part] = std::max(SoundParts[part], begin);
    if (auto it = Unconfirmed.find(part); it != Unconfirmed.end())
      std::erase_if(it->second, [&](const fleet::CrashSighting &crash) {
        return crash.At <= begin;
      });
    auto it = Parts.find(part);
    if (it == Parts.end())
      continue;
    bool wasBlocking = fleet::isBlocking(it->second);
    if (!fleet::refuteCrashes(it->second, begin))
      continue;
    logVerdict(part, it->second, wasBlocking, "local");
    ToSend.insert(part);
    updateDigest();
  }
  if (SoundParts.size() > MaxSoundParts)
    removeOld(now);
}

bool Findings::needsSoundAnswer(std::span<const uint64_t> parts,
                                MonoTime now) const {
  return std::any_of(parts.begin(), parts.end(), [&](uint64_t part) {
    auto sound = SoundParts.find(part);
    bool isUnknown = sound == SoundParts.end() ||
                     now - sound->second > SoundRenewal ||
                     Unconfirmed.contains(part);
    if (isUnknown && !fleet::isRequest(part))
      return true;
    auto known = Parts.find(part);
    return known != Parts.end() && fleet::hasUnrefutedCrash(known->second);
  });
}

void Findings::endTurn(MonoTime now) {
  for (auto &unconfirmed : Unconfirmed) {
    uint64_t part = unconfirmed.first;
    std::erase_if(unconfirmed.second, [&](const fleet::CrashSighting &it) {
      if (now - it.At < ConfirmTime)
        return false;
      fleet::PartEvidence e = evidenceOf(part, it, now);
      e.WasSound = true;
      merge(part, e, "local");
      ToSend.insert(part);
      return true;
    });
  }
  std::erase_if(Unconfirmed, [](const auto &it) { return it.second.empty(); });
  updateDigest();
  std::set<uint64_t> news = std::exchange(ToSend, {});
  sendParts(std::vector<uint64_t>(news.begin(), news.end()), now);
  sendLimits(std::exchange(LimitsToSend, {}), now);
  removeOld(now);
}

fleet::PartsDecision Findings::decide(std::span<const uint64_t> parts,
                                      MonoTime now) {
  fleet::PartsDecision out =
      fleet::decideOnParts(Parts, parts, now, [this](uint64_t part) {
        return rankOf(std::to_string(part));
      });
  if (out.BlockedPart)
    Parts[*out.BlockedPart].LastUseAt = now;
  return out;
}

void Findings::recordTrial(uint64_t part, MonoTime now) {
  fleet::PartEvidence &e = Parts[part];
  e.IsRequest = fleet::isRequest(part);
  ++e.Trials;
  e.TriedAt = now;
  log::event(Category::Peers, log::Level::Warning,
             e.IsRequest ? "repeated_request" : "prompt_part",
             {{e.IsRequest ? "request_key" : "part", nameOf(part)},
              {"outcome", "tried"},
              {"trials", e.Trials}});
  sendParts(std::span(&part, 1), now);
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
  size_t n = Parts.size();
  fleet::dropOldEvidence(Parts, now);
  size_t dropped = std::erase_if(Limits, [&](const auto &it) {
    return now - it.second.Limit.SeenAt > LimitMemory;
  });
  if (Parts.size() != n || dropped > 0)
    updateDigest();
}

bool Findings::merge(uint64_t part, const fleet::PartEvidence &from,
                     std::string_view source) {
  fleet::PartEvidence &e = Parts[part];
  e.IsRequest = fleet::isRequest(part);
  bool wasBlocking = fleet::isBlocking(e);
  fleet::mergeEvidence(e, from);
  // What went on well here may not be known to the others yet.
  if (!e.Crashes.empty() && wasRecentlySound(part, e.Crashes.front().At)) {
    e.WasSound = true;
    fleet::refuteCrashes(e, *lastSound(part));
  }
  logVerdict(part, e, wasBlocking, source);
  fleet::PartEvidence known = from;
  return fleet::mergeEvidence(known, e);
}

void Findings::logVerdict(uint64_t part, const fleet::PartEvidence &e,
                          bool wasBlocking, std::string_view source) {
  bool isBlocking = fleet::isBlocking(e);
  if (isBlocking == wasBlocking)
    return;
  std::string suspect = e.IsRequest ? "request" : "prompt_part";
  Metrics.count("sardineford_" + suspect + "_verdicts_total",
                {{"outcome", isBlocking ? "blocked" : "cleared"}});
  log::event(Category::Peers, log::Level::Warning,
             e.IsRequest ? "repeated_request" : "prompt_part",
             {{e.IsRequest ? "request_key" : "part", nameOf(part)},
              {"outcome", isBlocking ? "blocked" : "cleared"},
              {"crashes", e.Crashes.size()},
              {"crash_moments", fleet::countCrashMoments(e)},
              {"was_sound", e.WasSound},
              {"source", source}});
}

void Findings::updateDigest() {
  uint32_t out = 0;
  for (const auto &[part, e] : Parts)
    if (fleet::isBlocking(e))
      out ^= static_cast<uint32_t>(hash64(std::to_string(part)));
  for (const auto &[server, it] : Limits)
    if (it.Limit.PerSecond)
      out ^= static_cast<uint32_t>(
          hash64(fmt::format("{}/{}", server, *it.Limit.PerSecond)));
  Digest = out;
}

void Findings::sendParts(std::span<const uint64_t> parts, MonoTime now) {
  messages::LoadShare datagram = makeFindings();
  for (uint64_t it : parts)
    if (auto found = Parts.find(it); found != Parts.end())
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
  for (const auto &[part, e] : Parts)
    if (fleet::isBlocking(e))
      encodePart(part, e, now, datagram);
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
  for (const auto &[part, e] : decodeParts(in, now)) {
    if (merge(part, e, "peer"))
      ToSend.insert(part);
    else
      ToSend.erase(part);
  }
  fleet::dropOldEvidence(Parts, now);
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
