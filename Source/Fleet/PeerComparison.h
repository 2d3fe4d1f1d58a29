#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Fleet/StoreView.h"

#include <cstdint>
#include <deque>
#include <map>
#include <span>

namespace sardineford::fleet {

/// Compares the local store view with those of peers to detect a local watch
/// that misses changes. A store may drop its history or lose connections
/// without an error. A watch that starts in the meantime may then wait for long
/// without receiving the dropped changes, and so may the next watch. Only
/// reading all objects again recovers the missed changes.
class PeerComparison {
public:
  PeerComparison();

  /// All watches receive a change within this time.
  static constexpr Milliseconds NewerDelay{250};

  enum class Difference {
    /// No difference, or one that is too recent or already reported.
    None,
    /// A peer knows newer objects.
    Newer,
    /// The view of a peer without newer objects stays different: the peer may
    /// know of a removal.
    Persistent,
  };

  /// Ignores earlier differences; called when a watch begins. How long no peer
  /// has agreed is kept, since a store may drop one change while others keep
  /// ending the watches.
  void reset();
  /// Records the states that this process has passed through and what a peer
  /// reports. Peers agree if one reports a state that this process was in a
  /// short while ago, or is in a short while later.
  void recordStates(std::span<const uint64_t> states, const FeedView &peer,
                    MonoTime now);
  /// Returns whether this process is in the state, or was a short while ago.
  bool hasPassed(uint64_t state) const { return LocalStates.contains(state); }
  /// Returns whether no peer has agreed for so long that this process must have
  /// missed a change. Becomes rarer while that does not help.
  bool disagreesForLong(const FeedView &peer, MonoTime now);
  /// Compares the local view with that of a peer. Reports each digest of a peer
  /// only once. `newerDelay` is the time in which this process normally learns
  /// what a peer knows already.
  Difference compare(const FeedView &local, const FeedView &peer, MonoTime now,
                     Milliseconds newerDelay = NewerDelay);

private:
  bool wasReported(uint64_t digest) const;
  void recordReport(uint64_t digest);

  /// Start of the first difference from any peer, and from any peer that is not
  /// behind. The times are shared by all peers, since many peers may have many
  /// different views.
  MonoTime DifferentSince{};
  MonoTime NewerSince{};
  /// Digests of peers that are already reported.
  std::deque<uint64_t> ReportedDigests;
  /// Recent states of this process and of peers, with their last times.
  std::map<uint64_t, MonoTime> LocalStates;
  std::map<uint64_t, MonoTime> PeerStates;
  /// Start of the disagreement with all peers.
  MonoTime DisagreesSince{};
  Milliseconds DisagreementPatience;
};

} // namespace sardineford::fleet
