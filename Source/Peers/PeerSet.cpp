#include "Peers/PeerSet.h"

#include "Peers/Mesh.h"

#include <algorithm>

namespace sardineford::peers {

namespace {

/// Every process repeats its report twice a second, and what is passed on comes
/// a fraction of a second later. Whoever is silent for longer is asked.
constexpr Milliseconds ProbeAfter{900};
/// A process that does not answer either is left out of the groups.
constexpr Milliseconds ActiveLife{2'000};
/// Pause between two questions; it grows with the silence.
constexpr Milliseconds LeastProbePause{400};
constexpr int ProbeShare = 4;
/// A process that was silent for so long is gone, until it is listed again.
constexpr Milliseconds SilentLife{60'000};

} // namespace

void PeerSet::noteListed(const http::Endpoint &at, MonoTime now) {
  if (at != Own)
    Known.try_emplace(at, Peer{now});
}

void PeerSet::noteHeard(const http::Endpoint &at, MonoTime now) {
  if (at == Own)
    return;
  Peer &peer = Known[at];
  peer.Since = now;
  peer.Heard = true;
}

PeerSet::Sends PeerSet::next(MonoTime now) {
  std::erase_if(Known, [&](const auto &it) {
    return now - it.second.Since > SilentLife;
  });
  Sends out;
  std::vector<http::Endpoint> active = {Own};
  for (auto &[at, peer] : Known) {
    auto silence = now - peer.Since;
    if (peer.Heard && silence <= ActiveLife)
      active.push_back(at);
    if (peer.Heard && silence <= ProbeAfter)
      continue;
    auto pause =
        std::max<MonoClock::duration>(LeastProbePause, silence / ProbeShare);
    if (now - peer.Probed < pause)
      continue;
    peer.Probed = now;
    out.Silent.push_back(at);
  }
  // All processes agree on the order.
  std::sort(active.begin(), active.end());
  auto own = std::lower_bound(active.begin(), active.end(), Own);
  MeshPlan plan =
      planMesh(active.size(), static_cast<size_t>(own - active.begin()));
  Group.clear();
  for (size_t it : plan.Near) {
    out.Near.push_back(active[it]);
    Group.insert(active[it]);
  }
  for (size_t it : plan.Far)
    out.Far.push_back(active[it]);
  return out;
}

} // namespace sardineford::peers
