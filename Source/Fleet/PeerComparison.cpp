#include "Fleet/PeerComparison.h"

#include <algorithm>

namespace sardineford::fleet {

namespace {

/// A peer that is behind usually catches up within this time.
constexpr Milliseconds PersistentDelay{1'500};
constexpr size_t MaxReportedDigests = 64;
/// Processes are in the same state within this time of each other: it covers
/// the delay of a batch of changes and the interval of the reports.
constexpr Milliseconds StateMemory{2'000};
constexpr size_t MaxRecentStates = 4'096;
constexpr Milliseconds MaxDisagreementPatience{24'000};

void dropOldStates(std::map<uint64_t, MonoTime> &states, MonoTime now) {
  std::erase_if(states,
                [&](const auto &it) { return now - it.second > StateMemory; });
  if (states.size() > MaxRecentStates)
    states.clear();
}

} // namespace

PeerComparison::PeerComparison() : DisagreementPatience(PersistentDelay) {}

bool PeerComparison::wasReported(uint64_t digest) const {
  return std::find(ReportedDigests.begin(), ReportedDigests.end(), digest) !=
         ReportedDigests.end();
}

void PeerComparison::recordReport(uint64_t digest) {
  ReportedDigests.push_back(digest);
  if (ReportedDigests.size() > MaxReportedDigests)
    ReportedDigests.pop_front();
  DisagreesSince = {};
}

void PeerComparison::reset() {
  DifferentSince = {};
  NewerSince = {};
}

void PeerComparison::recordStates(std::span<const uint64_t> states,
                                  const FeedView &peer, MonoTime now) {
  dropOldStates(LocalStates, now);
  dropOldStates(PeerStates, now);
  if (!wasReported(peer.Digest))
    PeerStates[peer.Digest] = now;
  bool agrees = LocalStates.contains(peer.Digest);
  for (uint64_t it : states) {
    LocalStates[it] = now;
    agrees = agrees || PeerStates.contains(it);
  }
  if (agrees) {
    DisagreesSince = {};
    DisagreementPatience = PersistentDelay;
  } else if (DisagreesSince == MonoTime{} && !wasReported(peer.Digest)) {
    DisagreesSince = now;
  }
}

bool PeerComparison::disagreesForLong(const FeedView &peer, MonoTime now) {
  if (DisagreesSince == MonoTime{} ||
      now - DisagreesSince < DisagreementPatience || wasReported(peer.Digest))
    return false;
  recordReport(peer.Digest);
  DisagreementPatience =
      std::min(2 * DisagreementPatience, MaxDisagreementPatience);
  return true;
}

PeerComparison::Difference PeerComparison::compare(const FeedView &local,
                                                   const FeedView &peer,
                                                   MonoTime now,
                                                   Milliseconds newerDelay) {
  if (peer.Digest == local.Digest || wasReported(peer.Digest))
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
  recordReport(peer.Digest);
  return isPeerBehind ? Difference::Persistent : Difference::Newer;
}

} // namespace sardineford::fleet
