#include "Peers/PeerSet.h"

#include "Peers/Mesh.h"

#include <algorithm>

namespace sardineford::peers {

namespace {

/// Each process repeats its report twice a second, and relayed reports arrive a
/// fraction of a second later. A peer that is silent for longer is probed.
constexpr Milliseconds ProbeAfter{900};
/// A peer that does not answer the probe either is excluded from the groups.
constexpr Milliseconds ActiveTimeout{2'000};
/// Interval between probes of a peer; grows with the time of silence.
constexpr Milliseconds MinProbeInterval{400};
constexpr int ProbeIntervalDivisor = 4;
/// Relays are in doubt if more than one of so many peers is silent; lost
/// datagrams silence fewer.
constexpr size_t MinDoubtDivisor = 16;
/// A peer that is silent for this long is removed until it is listed again.
constexpr Milliseconds RemovalTimeout{60'000};

} // namespace

void PeerSet::addListed(const http::Endpoint &endpoint, MonoTime now) {
  if (endpoint != Local.Address)
    Peers.try_emplace(endpoint, Peer{now});
}

void PeerSet::applyList(const std::vector<http::Endpoint> &listed,
                        MonoTime now) {
  Members = {Local.Address};
  for (const http::Endpoint &it : listed) {
    addListed(it, now);
    Members.insert(it);
  }
  for (const auto &[endpoint, peer] : Peers)
    Members.insert(endpoint);
  IsListKnown = true;
}

std::optional<size_t> PeerSet::members() const {
  return IsListKnown ? std::make_optional(Members.size()) : std::nullopt;
}

void PeerSet::recordReport(const RunningProcess &process, MonoTime now) {
  if (process.Address == Local.Address)
    return;
  Peer &peer = Peers[process.Address];
  peer.FailureDomain = process.FailureDomain;
  peer.LastSeen = now;
  peer.HasReported = true;
  Members.insert(process.Address);
}

std::vector<http::Endpoint> PeerSet::expectedProcesses(MonoTime now) const {
  std::vector<http::Endpoint> out = {Local.Address};
  for (const auto &[endpoint, peer] : Peers)
    if (now - peer.LastSeen <= ActiveTimeout)
      out.push_back(endpoint);
  std::sort(out.begin(), out.end());
  return out;
}

PeerSet::Recipients PeerSet::selectRecipients(MonoTime now) {
  std::erase_if(Peers, [&](const auto &it) {
    return now - it.second.LastSeen > RemovalTimeout;
  });
  Recipients out;
  std::vector<RunningProcess> active = {Local};
  size_t silent = 0;
  for (auto &[endpoint, peer] : Peers) {
    auto silence = now - peer.LastSeen;
    if (peer.HasReported && silence <= ActiveTimeout)
      active.push_back({peer.FailureDomain, endpoint});
    if (peer.HasReported && silence <= ProbeAfter)
      continue;
    if (peer.HasReported && silence <= ActiveTimeout)
      ++silent;
    auto interval = std::max<MonoClock::duration>(
        MinProbeInterval, silence / ProbeIntervalDivisor);
    if (now - peer.ProbedAt < interval)
      continue;
    peer.ProbedAt = now;
    out.Silent.push_back(endpoint);
  }
  out.AreRelaysInDoubt = silent * MinDoubtDivisor > active.size();
  // All processes sort alike, so that their groups agree.
  std::sort(active.begin(), active.end());
  auto local = std::lower_bound(active.begin(), active.end(), Local);
  MeshPlan plan =
      planMesh(active.size(), static_cast<size_t>(local - active.begin()));
  LocalGroup.clear();
  for (size_t it : plan.SameGroup) {
    out.SameGroup.push_back(active[it].Address);
    LocalGroup.insert(active[it].Address);
  }
  for (size_t it : plan.OtherGroups)
    out.OtherGroups.push_back(active[it].Address);
  Active = std::move(active);
  return out;
}

} // namespace sardineford::peers
