#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Fleet/StoreView.h"

#include <deque>

namespace sardineford::fleet {

/// Compares the local store view with those of peers to detect a local watch
/// that misses changes. A store may drop its history or lose connections
/// without an error. A watch that starts in the meantime may then wait for long
/// without receiving the dropped changes, and so may the next watch. Only
/// reading all objects again recovers the missed changes.
class PeerComparison {
public:
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

  /// Ignores earlier differences; called when a watch begins.
  void reset();
  /// Compares the local view with that of a peer. Reports each digest of a peer
  /// only once. `newerDelay` is the time in which this process normally learns
  /// what a peer knows already.
  Difference compare(const FeedView &local, const FeedView &peer, MonoTime now,
                     Milliseconds newerDelay = NewerDelay);

private:
  /// Start of the first difference from any peer, and from any peer that is not
  /// behind. The times are shared by all peers, since many peers may have many
  /// different views.
  MonoTime DifferentSince{};
  MonoTime NewerSince{};
  /// Digests of peers that are already reported.
  std::deque<uint64_t> ReportedDigests;
};

} // namespace sardineford::fleet
