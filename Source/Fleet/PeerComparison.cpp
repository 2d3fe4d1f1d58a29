#include "Fleet/PeerComparison.h"

#include <algorithm>

namespace sardineford::fleet {

namespace {

/// The news of a change reaches all watches within this time.
constexpr Milliseconds NewerPatience{250};
/// A peer that is behind mends that within this time, as a rule.
constexpr Milliseconds LastingPatience{1'500};
/// Digests that are remembered as settled.
constexpr size_t KeptDigests = 64;

} // namespace

void PeerComparison::restart() {
  DifferentSince = {};
  NewerSince = {};
}

PeerComparison::Difference PeerComparison::compare(const FeedView &own,
                                                   const FeedView &peer,
                                                   MonoTime now) {
  bool settled =
      std::find(Settled.begin(), Settled.end(), peer.Digest) != Settled.end();
  if (peer.Digest == own.Digest || settled)
    return Difference::None;
  bool behind =
      peer.NewestVersion != 0 && peer.NewestVersion < own.NewestVersion;
  if (DifferentSince == MonoTime{})
    DifferentSince = now;
  if (!behind && NewerSince == MonoTime{})
    NewerSince = now;
  bool tooEarly = behind ? now - DifferentSince < LastingPatience
                         : now - NewerSince < NewerPatience;
  if (tooEarly)
    return Difference::None;
  restart();
  Settled.push_back(peer.Digest);
  if (Settled.size() > KeptDigests)
    Settled.pop_front();
  return behind ? Difference::Lasting : Difference::Newer;
}

} // namespace sardineford::fleet
