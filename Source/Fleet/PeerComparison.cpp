#include "Fleet/PeerComparison.h"

#include <algorithm>

namespace sardineford::fleet {

namespace {

/// A peer that is behind usually catches up within this time.
constexpr Milliseconds PersistentDelay{1'500};
constexpr size_t MaxReportedDigests = 64;

} // namespace

void PeerComparison::reset() {
  DifferentSince = {};
  NewerSince = {};
}

PeerComparison::Difference PeerComparison::compare(const FeedView &local,
                                                   const FeedView &peer,
                                                   MonoTime now,
                                                   Milliseconds newerDelay) {
  bool isReported = std::find(ReportedDigests.begin(), ReportedDigests.end(),
                              peer.Digest) != ReportedDigests.end();
  if (peer.Digest == local.Digest || isReported)
    return Difference::None;
  bool isPeerBehind =
      peer.NewestVersion != 0 && peer.NewestVersion < local.NewestVersion;
  if (DifferentSince == MonoTime{})
    DifferentSince = now;
  if (!isPeerBehind && NewerSince == MonoTime{})
    NewerSince = now;
  bool isTooRecent = isPeerBehind ? now - DifferentSince < PersistentDelay
                                  : now - NewerSince < newerDelay;
  if (isTooRecent)
    return Difference::None;
  reset();
  ReportedDigests.push_back(peer.Digest);
  if (ReportedDigests.size() > MaxReportedDigests)
    ReportedDigests.pop_front();
  return isPeerBehind ? Difference::Persistent : Difference::Newer;
}

} // namespace sardineford::fleet
